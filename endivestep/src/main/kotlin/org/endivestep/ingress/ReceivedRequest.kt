package org.endivestep.ingress

import io.netty.handler.codec.http.HttpRequest
import io.netty.handler.codec.http.HttpUtil
import org.endivestep.exchange.RequestBody
import org.endivestep.exchange.monotonicMs
import org.endivestep.outcome.HeaderField
import java.io.ByteArrayOutputStream

/** Greatest body in bytes that is read whole before its request is handled. */
internal const val MAX_COLLECTED_BYTES = 524_288

/** A request whose body is still being received. Called by the thread of its connection. */
internal class ReceivedRequest(private val head: HttpRequest, private val length: Long, private val maxBytes: Long) {
    enum class Step { INCOMPLETE, START, TOO_LONG }

    private val arrivedMs = monotonicMs()
    private val collected = ByteArrayOutputStream()
    private var stream: BodyQueue? = null
    private var total = 0L

    /** Takes the next [bytes]; tells when the request can be handled. */
    fun add(bytes: ByteArray, ended: Boolean): Step {
        total += bytes.size
        if (total > maxBytes) return tooLong()
        val current = stream
        if (current != null) {
            current.put(bytes, ended)
            return Step.INCOMPLETE
        }
        collected.write(bytes)
        if (ended) return Step.START
        if (collected.size() <= MAX_COLLECTED_BYTES) return Step.INCOMPLETE
        stream = BodyQueue().also { it.put(collected.toByteArray(), ended = false) }
        return Step.START
    }

    private fun tooLong(): Step {
        breakOff("the body is too long")
        return Step.TOO_LONG
    }

    fun breakOff(cause: String) {
        stream?.breakOff(cause)
    }

    /** Sets what is told to pause and resume the caller, true for pause. */
    fun onFlow(pause: (Boolean) -> Unit) {
        stream?.onFlow = pause
    }

    val keepsAlive: Boolean get() = HttpUtil.isKeepAlive(head)

    fun toRequest(): CallerRequest {
        val body = stream?.let { RequestBody.Streamed(UnreadStream(it), length) } ?: RequestBody.Inline(collected.toByteArray())
        val headers = head.headers().map { HeaderField(it.key, it.value) }
        return CallerRequest(head.method().name(), head.uri(), headers, body, arrivedMs)
    }
}
