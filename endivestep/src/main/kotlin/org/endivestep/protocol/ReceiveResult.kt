package org.endivestep.protocol

/** Result of waiting for the next frame on one direction of a stream. */
internal sealed interface ReceiveResult<out T> {
    class Frame<T>(val frame: T) : ReceiveResult<T>

    /** The remote side half-closed its direction. */
    data object Completed : ReceiveResult<Nothing>

    class Failed(val cause: String) : ReceiveResult<Nothing>

    /** No frame was received within the timeout. */
    data object TimedOut : ReceiveResult<Nothing>

    /** The wait was ended by [FrameInbox.wake]. */
    data object Woken : ReceiveResult<Nothing>
}
