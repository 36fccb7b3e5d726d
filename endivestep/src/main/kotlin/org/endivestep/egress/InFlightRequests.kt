package org.endivestep.egress

import org.endivestep.identity.AttemptId
import org.endivestep.identity.Fingerprint

/**
 * Requests in progress on the worker, and those whose connection to it was lost within the last
 * [lostRetentionMs]. When the worker's death is detected, both count as in flight. Thread-safe.
 */
internal class InFlightRequests(private val lostRetentionMs: Long, private val clockMs: () -> Long) {
    private class Lost(val fingerprint: Fingerprint, val atMs: Long)

    private val running = HashMap<AttemptId, Fingerprint>()
    private val lost = ArrayDeque<Lost>()

    val count: Int
        @Synchronized get() = running.size

    @Synchronized
    fun begin(attempt: AttemptId, fingerprint: Fingerprint) {
        running[attempt] = fingerprint
    }

    @Synchronized
    fun end(attempt: AttemptId, connectionLost: Boolean) {
        val fingerprint = running.remove(attempt) ?: return
        if (connectionLost) lost.addLast(Lost(fingerprint, clockMs()))
        if (lost.size > MAX_LOST) lost.removeFirst()
    }

    /** Returns the requests in flight at a death that is detected now, and clears the requests with lost connections. */
    @Synchronized
    fun takeAtDeath(): List<Fingerprint> {
        val sinceMs = clockMs() - lostRetentionMs
        val recent = lost.filter { it.atMs >= sinceMs }.map { it.fingerprint }
        lost.clear()
        return (running.values + recent).distinct()
    }

    private companion object {
        const val MAX_LOST = 1_024
    }
}
