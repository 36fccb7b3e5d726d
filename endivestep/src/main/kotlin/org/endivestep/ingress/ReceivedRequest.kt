package org.endivestep.ingress

import io.netty.handler.codec.http.HttpMethod
import io.netty.handler.codec.http.HttpRequest
import io.netty.handler.codec.http.HttpUtil
import io.netty.handler.codec.http.HttpVersion
import org.endivestep.exchange.RequestBody
import org.endivestep.exchange.monotonicMs
import org.endivestep.outcome.HeaderField
import java.io.ByteArrayOutputStream

/** Largest request body in bytes that is buffered completely before the request is handled. */
internal const val MAX_BUFFERED_BODY_BYTES = 524_288

/**
 * A request whose body is still being received. [add], [fail] and [onBackpressure] must be called from the
 * event loop of its connection.
 */
internal class ReceivedRequest(private val head: HttpRequest, private val length: Long, private val maxBytes: Long) {
    enum class BodyProgress { INCOMPLETE, READY, TOO_LONG }

    private val arrivedMs = monotonicMs()
    private val buffered = ByteArrayOutputStream()
    private var stream: BodyQueue? = null
    private var total = 0L

    /** Appends the next [bytes]; returns [BodyProgress.READY] once, when the request can be handled. */
    fun add(bytes: ByteArray, ended: Boolean): BodyProgress {
        total += bytes.size
        if (total > maxBytes) return tooLong()
        val current = stream
        if (current != null) {
            current.put(bytes, ended)
            return BodyProgress.INCOMPLETE
        }
        buffered.write(bytes)
        if (ended) return BodyProgress.READY
        if (buffered.size() <= MAX_BUFFERED_BODY_BYTES) return BodyProgress.INCOMPLETE
        stream = BodyQueue().also { it.put(buffered.toByteArray(), ended = false) }
        return BodyProgress.READY
    }

    private fun tooLong(): BodyProgress {
        fail("request body is longer than $maxBytes bytes")
        return BodyProgress.TOO_LONG
    }

    fun fail(cause: String) {
        stream?.fail(cause)
    }

    /** Sets the callback that pauses (true) or resumes (false) reading from the caller. */
    fun onBackpressure(pause: (Boolean) -> Unit) {
        stream?.onBackpressure = pause
    }

    /** Number of bytes of the body that are held in memory until the request is handled. */
    val bufferedBytes: Int get() = buffered.size()

    val keepsAlive: Boolean get() = HttpUtil.isKeepAlive(head)

    /** Whether the answer states the length of a body without having one. */
    val isHead: Boolean get() = head.method() == HttpMethod.HEAD

    /** Whether the caller understands chunked answers, which HTTP/1.0 does not know. */
    val understandsChunks: Boolean get() = head.protocolVersion() != HttpVersion.HTTP_1_0

    fun toRequest(): CallerRequest {
        val body = stream?.let { RequestBody.Streamed(it, length) } ?: RequestBody.Inline(buffered.toByteArray())
        val headers = head.headers().map { HeaderField(it.key, it.value) }
        return CallerRequest(head.method().name(), head.uri(), headers, body, arrivedMs)
    }
}
