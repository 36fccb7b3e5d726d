package org.endivestep.exchange

import org.endivestep.identity.AttemptId
import org.endivestep.identity.Fingerprint
import org.endivestep.identity.KindName
import org.endivestep.identity.RequestId
import org.endivestep.identity.ServiceName
import org.endivestep.outcome.HeaderField
import java.io.InputStream

/** Maximum size in bytes of a body that is kept in memory, so that it can be sent again. */
internal const val MAX_INLINE_BODY_BYTES = 65_536

/** Body of a request. */
internal sealed interface RequestBody {
    class Inline(val bytes: ByteArray) : RequestBody

    /** A body that can be read only once. [length] is in bytes, -1 when unknown. */
    class Streamed(private val stream: InputStream, val length: Long) : RequestBody {
        /** Whether somebody reads the body or is about to; after that it cannot be sent again from its beginning. */
        @Volatile
        var isOpened = false
            private set

        /** Returns the stream to its only reader. To be called before the reading is left to another thread. */
        fun open(): InputStream {
            isOpened = true
            return stream
        }
    }
}

/** One attempt of a request at one worker. [path] includes the query. */
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
) {
    /** Whether the request may still be sent to a worker: somebody waits for its answer, and not only until [nowMs]. */
    fun isNeeded(nowMs: Long): Boolean = !cancellation.isCancelled && deadline.remainingMs(nowMs) > 0

    /** Returns this request with an inline body of more than [limit] bytes converted to a stream, which is sent only after admission. */
    fun withStreamedBody(limit: Int): AttemptRequest {
        val bytes = (body as? RequestBody.Inline)?.bytes
        if (bytes == null || bytes.size <= limit) return this
        val streamed = RequestBody.Streamed(bytes.inputStream(), bytes.size.toLong())
        return AttemptRequest(
            requestId,
            attemptId,
            service,
            kind,
            method,
            path,
            headers,
            streamed,
            deadline,
            fingerprint,
            rank,
            maxWaitMs,
            cancellation,
        )
    }
}
