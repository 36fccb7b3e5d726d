package org.endivestep.store

/** Requests of other threads that a thread reads a collection again; [interrupt] ends the interruptible call of that thread. */
internal class RefreshSignal(private val interrupt: () -> Unit) {
    private var requested = false
    private var interruptible = false

    @Synchronized
    fun request() {
        requested = true
        if (interruptible) interrupt()
    }

    /** Returns whether there was a request since the last call. */
    @Synchronized
    fun take(): Boolean = requested.also { requested = false }

    /** Returns the result of [call], or null if a request came before it ended. */
    fun <T : Any> interruptible(call: () -> T): T? {
        if (!begin()) return null
        return try {
            call()
        } catch (e: InterruptedException) {
            if (!isRequested()) throw e
            null
        } finally {
            end()
        }
    }

    @Synchronized
    private fun isRequested(): Boolean = requested

    @Synchronized
    private fun begin(): Boolean {
        interruptible = !requested
        return interruptible
    }

    // An interrupt that came too late for the call must not end the next one.
    @Synchronized
    private fun end() {
        interruptible = false
        if (requested) Thread.interrupted()
    }
}
