package org.endivestep.http

import org.endivestep.outcome.AnswerHead

/** Next event on a connection that waits for a response. */
internal sealed interface HttpResponseEvent {
    class Head(val head: AnswerHead) : HttpResponseEvent

    class Content(val bytes: ByteArray) : HttpResponseEvent

    /** The response ended as its framing declares; [reusable] when the connection can carry another request. */
    class End(val reusable: Boolean) : HttpResponseEvent

    /** The connection failed, or received bytes that are not a valid response. */
    class Failed(val cause: String) : HttpResponseEvent

    /** Nothing arrived within the timeout. */
    data object TimedOut : HttpResponseEvent
}
