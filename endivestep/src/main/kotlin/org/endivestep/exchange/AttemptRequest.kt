package org.endivestep.exchange

import org.endivestep.identity.AttemptId
import org.endivestep.identity.Fingerprint
import org.endivestep.identity.KindName
import org.endivestep.identity.RequestId
import org.endivestep.identity.ServiceName
import org.endivestep.outcome.HeaderField
import java.io.InputStream
import java.util.concurrent.atomic.AtomicBoolean

/** Maximum size in bytes of a body that is kept in memory, so that it can be sent again. */
internal const val MAX_INLINE_BODY_BYTES = 65_536

/** Body of a request. */
internal sealed interface RequestBody {
    class Inline(val bytes: ByteArray) : RequestBody

    /** A body that can be read only once. [length] is in bytes, -1 when unknown. [onOpen] is called before the body is read. */
    class Streamed(private val stream: InputStream, val length: Long, private val onOpen: () -> Unit = { }) : RequestBody {
        private val opened = AtomicBoolean()

        /** Whether somebody reads the body or is about to; after that it cannot be sent again from its beginning. */
        val isOpened: Boolean get() = opened.get()

        /**
         * Returns the stream to its only reader. To be called when the receiver is known to take the body, and before the reading
         * is left to another thread. Throws [IllegalStateException] when the body was opened before.
         */
        fun open(): InputStream {
            check(opened.compareAndSet(false, true)) { "the body was already opened" }
            onOpen()
            return stream
        }
    }
}

/** One attempt of a request at one worker, with the whole [body]. [path] includes the query. */
internal class AttemptRequest(
    val requestId: RequestId,
    val attemptId: AttemptId,
    val service: ServiceName,
    val kind: KindName,
    val method: String,
    val path: String,
    val headers: List<HeaderField>,
    val body: RequestBody,
    val deadline: Deadline,
    val fingerprint: Fingerprint,
    val rank: RequestRank = RequestRank(),
    /** Maximum time in ms that the request may wait for admission. */
    val maxWaitMs: Long = Long.MAX_VALUE,
    /** Tells whether anybody still waits for the answer. */
    val cancellation: Cancellation = Cancellation(),
    val lease: CallerLease = CallerLease.unlimited(),
    val times: AttemptTimes = AttemptTimes(),
    /** Reserves another attempt of the request, which must follow if this one is given up; returns false when none can. */
    val reserveRepeat: () -> Boolean = { false },
    /**
     * Until when an answer is awaited: [deadline], or later where that is only a bound from below. The sender of the request, which knows
     * the deadline, cancels it then.
     */
    val answerDeadline: Deadline = deadline,
) {
    init {
        require((body as? RequestBody.Streamed)?.isOpened != true) { "an attempt needs the whole body, and a part of it was read" }
    }

    /** Whether the answer is still needed, as far as is known: nobody has cancelled the request, and its deadline is after [nowMs]. */
    fun isNeeded(nowMs: Long): Boolean = !cancellation.isCancelled && deadline.remainingMs(nowMs) > 0

    /** Whether the request may be sent to a worker at [nowMs]: its answer is needed, and what is known of that is recent. */
    fun maySend(nowMs: Long): Boolean = isNeeded(nowMs) && lease.isValid(nowMs)

    /** Returns this request with an inline body of more than [limit] bytes converted to a stream, which is sent only after admission. */
    fun withStreamedBody(limit: Int): AttemptRequest {
        val bytes = (body as? RequestBody.Inline)?.bytes
        if (bytes == null || bytes.size <= limit) return this
        return copy(RequestBody.Streamed(bytes.inputStream(), bytes.size.toLong()), cancellation, reserveRepeat)
    }

    /** Returns this request with [cancellation] in place of its own, as one of two attempts at a time, neither of which is repeated. */
    fun withCancellation(cancellation: Cancellation): AttemptRequest = copy(body, cancellation) { false }

    private fun copy(body: RequestBody, cancellation: Cancellation, reserveRepeat: () -> Boolean) =
        AttemptRequest(
            requestId,
            attemptId,
            service,
            kind,
            method,
            path,
            headers,
            body,
            deadline,
            fingerprint,
            rank,
            maxWaitMs,
            cancellation,
            lease,
            times,
            reserveRepeat,
            answerDeadline,
        )
}
