package org.endivestep.exchange

/**
 * Whether the sender of a request has stopped waiting for its answer. Thread-safe.
 *
 * It is set by the event loop that reads the close of a connection or the end of a stream, and is in force at once, while the
 * thread that handles the request may have to wait until it runs.
 */
internal class Cancellation {
    private var listener: (() -> Unit)? = null

    @Volatile
    var isCancelled = false
        private set

    /** When the request was cancelled, on the clock of [monotonicMs]; null while it is not. */
    @Volatile
    var cancelledMs: Long? = null
        private set

    /** Cancels the request and calls the listener, if there is one; has no effect when the request was cancelled before. */
    fun cancel() {
        val current =
            synchronized(this) {
                if (isCancelled) return
                cancelledMs = monotonicMs()
                isCancelled = true
                listener
            }
        current?.invoke()
    }

    /** Calls [listener], which must not block, when the request is cancelled, or at once if it was; it replaces an earlier one. */
    fun onCancel(listener: () -> Unit) {
        val wasCancelled =
            synchronized(this) {
                this.listener = listener
                isCancelled
            }
        if (wasCancelled) listener()
    }
}
