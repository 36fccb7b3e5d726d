package org.endivestep.emulator

/**
 * Cold start of an emulated worker. A cold worker can run few requests concurrently. When it has more, it
 * collapses: all its requests fail, and it is cold again. Thread-safe.
 */
internal class ColdStart(private val behaviour: WorkerBehaviour) {
    private var answered = 0
    private var inFlight = 0
    private var generation = 0

    /** Number of times that the worker collapsed because it had more requests than its capacity. */
    @get:Synchronized
    var collapses = 0
        private set

    @get:Synchronized
    var maxInFlight = 0
        private set

    /** Number of requests that the worker has, running or waiting. */
    @get:Synchronized
    val current: Int get() = inFlight

    @get:Synchronized
    val isCold: Boolean get() = answered < behaviour.warmAfterRequests

    /** Starts a request; returns the generation that it belongs to. */
    @Synchronized
    fun begin(): Int {
        inFlight++
        maxInFlight = maxOf(maxInFlight, inFlight)
        if (inFlight > capacity()) collapse()
        return generation
    }

    /** Ends a request; returns false when the worker has collapsed since the request started. */
    @Synchronized
    fun end(startedIn: Int): Boolean {
        inFlight--
        if (startedIn != generation) return false
        answered++
        return true
    }

    @Synchronized
    fun resetToCold() {
        answered = 0
    }

    // A warm worker queues the requests that exceed its slots; a cold one collapses.
    private fun capacity(): Int {
        if (!isCold) return Int.MAX_VALUE
        val share = answered.toDouble() / behaviour.warmAfterRequests
        return behaviour.coldSlots + ((behaviour.slots - behaviour.coldSlots) * share).toInt()
    }

    private fun collapse() {
        collapses++
        generation++
        answered = 0
    }
}
