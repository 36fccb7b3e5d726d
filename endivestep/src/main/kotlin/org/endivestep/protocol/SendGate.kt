package org.endivestep.protocol

import java.io.IOException

/** Blocks a sender until the transport can accept another frame. */
internal class SendGate(private val isReady: () -> Boolean) {
    private val lock = Object()
    private var failure: String? = null

    /** Called by the transport when it can accept frames again. */
    fun signal() = synchronized(lock) { lock.notifyAll() }

    fun fail(cause: String) =
        synchronized(lock) {
            failure = cause
            lock.notifyAll()
        }

    /** Waits until a frame can be sent; throws [IOException] when that takes longer than [timeoutMs]. */
    fun await(timeoutMs: Long) {
        val untilNanos = System.nanoTime() + timeoutMs * NANOS_PER_MS
        synchronized(lock) {
            while (!isReady()) {
                throwIfFailed(failure)
                val remainingMs = (untilNanos - System.nanoTime()) / NANOS_PER_MS
                throwIfFailed("the receiver did not accept data within the timeout".takeIf { remainingMs <= 0 })
                lock.wait(minOf(remainingMs, RECHECK_MS))
            }
            throwIfFailed(failure)
        }
    }

    private fun throwIfFailed(cause: String?) {
        if (cause != null) throw IOException(cause)
    }

    private companion object {
        const val NANOS_PER_MS = 1_000_000L
        const val RECHECK_MS = 100L
    }
}
