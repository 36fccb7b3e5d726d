package org.endivestep.http

import org.endivestep.outcome.AnswerHead

/** What arrived next on a connection that waits for an answer. */
internal sealed interface HttpArrival {
    class Head(val head: AnswerHead) : HttpArrival

    class Content(val bytes: ByteArray) : HttpArrival

    /** The answer ended as its framing says; [reusable] when the connection may carry another request. */
    class End(val reusable: Boolean) : HttpArrival

    /** The connection broke off, or sent bytes that are no answer. */
    class Failed(val cause: String) : HttpArrival

    /** Nothing came in the time given. */
    data object Late : HttpArrival
}
