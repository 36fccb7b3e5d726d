package org.endivestep.egress

import org.endivestep.identity.AttemptId
import org.endivestep.identity.Fingerprint

/** How a request ended at the worker. */
internal enum class RequestEnd {
    /** The worker answered it, so it was alive after the request had begun. */
    ANSWERED,

    /** The connection was lost before the end of the answer; the worker may have died. */
    CONNECTION_LOST,

    /** Nothing was sent, because no connection could be opened; the worker may have died, but not of this request. */
    NOT_SENT,

    /** Says nothing about the worker: cancelled, expired, or answered with a failure. */
    OTHER,
}

/**
 * Requests in progress on the worker, and those whose connection to it was lost. When the worker's death is detected, both
 * count as in flight. A lost request no longer counts once the worker has answered one that began later, or
 * [lostRetentionMs] after the loss. Thread-safe.
 */
internal class InFlightRequests(private val lostRetentionMs: Long, private val clockMs: () -> Long) {
    private class Running(val fingerprint: Fingerprint, val beganMs: Long)

    private class Lost(val fingerprint: Fingerprint, val atMs: Long)

    private val running = HashMap<AttemptId, Running>()
    private val lost = ArrayDeque<Lost>()

    val count: Int
        @Synchronized get() = running.size

    @Synchronized
    fun begin(attempt: AttemptId, fingerprint: Fingerprint) {
        running[attempt] = Running(fingerprint, clockMs())
    }

    @Synchronized
    fun end(attempt: AttemptId, how: RequestEnd) {
        val ended = running.remove(attempt) ?: return
        when (how) {
            RequestEnd.ANSWERED -> lost.removeAll { it.atMs < ended.beganMs }
            RequestEnd.CONNECTION_LOST -> addLost(ended.fingerprint)
            RequestEnd.NOT_SENT, RequestEnd.OTHER -> Unit
        }
    }

    /** Returns the requests in flight at a death that is detected now, and clears the requests with lost connections. */
    @Synchronized
    fun takeAtDeath(): List<Fingerprint> {
        val sinceMs = clockMs() - lostRetentionMs
        val recent = lost.filter { it.atMs >= sinceMs }.map { it.fingerprint }
        lost.clear()
        return (running.values.map { it.fingerprint } + recent).distinct()
    }

    private fun addLost(fingerprint: Fingerprint) {
        lost.addLast(Lost(fingerprint, clockMs()))
        if (lost.size > MAX_LOST) lost.removeFirst()
    }

    private companion object {
        const val MAX_LOST = 1_024
    }
}

/** Time in ms for which a lost request counts: a worker is away for some seconds, and its next run announces itself later. */
internal const val LOST_REQUEST_RETENTION_MS = 10_000L
