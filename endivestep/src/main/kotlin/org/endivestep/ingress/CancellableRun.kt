package org.endivestep.ingress

import org.endivestep.exchange.Cancellation

/** One of two attempts of a request, which another thread may cancel. Thread-safe. */
internal class CancellableRun {
    /** To be passed to the attempt: it stops what the attempt has sent to another daemon. */
    val cancellation = Cancellation()
    private var runner: Thread? = null
    private var interruptedRunner = false

    /** Whether the attempt was cancelled because the other one responded, which says nothing against its worker. */
    @Volatile
    var isReplaced = false
        private set

    /** Runs [attempt] on the calling thread. Throws [InterruptedException] when it is cancelled or the thread is interrupted. */
    fun <T> run(attempt: (CancellableRun) -> T): T {
        begin()
        try {
            return attempt(this)
        } finally {
            end()
        }
    }

    /** Cancels the attempt because the other one responded; does not block. */
    fun replace() {
        isReplaced = true
        cancel()
    }

    /** Cancels the attempt, and interrupts the thread that runs it; does not block. */
    fun cancel() {
        cancellation.cancel()
        synchronized(this) {
            val thread = runner ?: return
            interruptedRunner = true
            thread.interrupt()
        }
    }

    @Synchronized
    private fun begin() {
        if (cancellation.isCancelled) throw InterruptedException("the attempt was cancelled before it began")
        runner = Thread.currentThread()
    }

    // The thread runs other tasks afterwards, which the interrupt of this attempt must not reach.
    @Synchronized
    private fun end() {
        runner = null
        if (interruptedRunner) Thread.interrupted()
    }
}
