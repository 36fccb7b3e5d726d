package org.endivestep.http

import org.endivestep.outcome.AnswerHead

/** Next event on a connection that waits for a response. */
internal sealed interface HttpArrival {
    class Head(val head: AnswerHead) : HttpArrival

    class Content(val bytes: ByteArray) : HttpArrival

    /** The response ended as its framing declares; [reusable] when the connection can carry another request. */
    class End(val reusable: Boolean) : HttpArrival

    /** The connection failed, or received bytes that are not a valid response. */
    class Failed(val cause: String) : HttpArrival

    /** Nothing arrived within the timeout. */
    data object Late : HttpArrival
}
