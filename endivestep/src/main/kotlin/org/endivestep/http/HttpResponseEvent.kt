package org.endivestep.http

import org.endivestep.outcome.AnswerHead

/** Next event on a connection that waits for a response. */
internal sealed interface HttpResponseEvent {
    class Head(val head: AnswerHead) : HttpResponseEvent

    class Content(val bytes: ByteArray) : HttpResponseEvent {
        /** Memory that this event takes while it is queued: many events may have one byte each. */
        val queuedBytes: Int get() = bytes.size + OVERHEAD_BYTES

        private companion object {
            const val OVERHEAD_BYTES = 128
        }
    }

    /** The response ended as its framing declares; [reusable] when the connection can carry another request. */
    class End(val reusable: Boolean) : HttpResponseEvent

    /**
     * The connection failed, or received bytes that are not a valid response. If not [requestSent], no byte of the
     * request was sent and none will be.
     */
    class Failed(val cause: String, val requestSent: Boolean) : HttpResponseEvent

    /** The request was not sent, because it was no longer needed when the connection was ready to send it. */
    data object NotSent : HttpResponseEvent

    /** Nothing arrived within the timeout. */
    data object TimedOut : HttpResponseEvent
}
