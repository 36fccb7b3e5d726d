package org.endivestep.ingress

import io.netty.handler.codec.http.HttpMethod
import io.netty.handler.codec.http.HttpRequest
import io.netty.handler.codec.http.HttpUtil
import io.netty.handler.codec.http.HttpVersion
import org.endivestep.exchange.CallerLease
import org.endivestep.exchange.CallerQuestion
import org.endivestep.exchange.Cancellation
import org.endivestep.exchange.RequestBody
import org.endivestep.exchange.monotonicMs
import org.endivestep.outcome.HeaderField

/** Largest request body in bytes that is buffered completely before the request is handled. */
internal const val MAX_BUFFERED_BODY_BYTES = 524_288

/**
 * A request whose body, of at most [maxBytes], is still being received; what is buffered of it is taken from [memory].
 * Its head may have waited in the socket for [readDelayMs]; [lookForCaller] tells whether its connection is open still.
 * Its methods must be called from the event loop of its connection, except [toRequest].
 */
internal class ReceivedRequest(
    private val head: HttpRequest,
    private val length: Long,
    private val maxBytes: Long,
    private val memory: BodyMemory,
    private val readDelayMs: Long = 0,
    lookForCaller: CallerQuestion = { onPresent -> onPresent() },
) {
    enum class BodyProgress { INCOMPLETE, READY, TOO_LONG, NO_MEMORY }

    /** Tells whether the caller still waits for the answer. */
    val cancellation = Cancellation()
    private val arrivedMs = monotonicMs()

    // Whatever came before the request is read, so the caller had not left when it was read.
    private val lease = CallerLease(arrivedMs) { onPresent -> lookForCaller { if (!cancellation.isCancelled) onPresent() } }
    private val buffered = ByteBlocks()
    private var stream: BodyQueue? = null
    private var total = 0L
    private var takenBytes = 0L

    /** Appends the next [bytes]; returns [BodyProgress.READY] once, when the request can be handled. */
    fun add(bytes: ByteArray, ended: Boolean): BodyProgress {
        total += bytes.size
        if (total > maxBytes) return tooLong()
        val current = stream
        if (current != null) {
            current.put(bytes, ended)
            return BodyProgress.INCOMPLETE
        }
        if (!memory.tryTake(bytes.size)) return BodyProgress.NO_MEMORY
        takenBytes += bytes.size
        buffered.append(bytes)
        if (ended) return BodyProgress.READY
        if (buffered.size <= MAX_BUFFERED_BODY_BYTES) return BodyProgress.INCOMPLETE
        stream = BodyQueue(buffered)
        return BodyProgress.READY
    }

    /** Gives back the memory of the body, when the request has been answered or dropped. */
    fun releaseMemory() {
        memory.giveBack(takenBytes)
        takenBytes = 0
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
        stream?.onBackpressure(pause)
    }

    /** Number of bytes of the body that are held in memory until the request is handled. */
    val bufferedBytes: Int get() = takenBytes.toInt()

    val keepsAlive: Boolean get() = HttpUtil.isKeepAlive(head)

    /** Whether the answer states the length of a body without having one. */
    val isHead: Boolean get() = head.method() == HttpMethod.HEAD

    /** Whether the caller understands chunked answers, which HTTP/1.0 does not know. */
    val understandsChunks: Boolean get() = head.protocolVersion() != HttpVersion.HTTP_1_0

    fun toRequest(): CallerRequest {
        val body = stream?.let { RequestBody.Streamed(it, length) } ?: RequestBody.Inline(buffered.toByteArray())
        val headers = head.headers().map { HeaderField(it.key, it.value) }
        return CallerRequest(head.method().name(), head.uri(), headers, body, arrivedMs, readDelayMs, cancellation, lease)
    }
}
