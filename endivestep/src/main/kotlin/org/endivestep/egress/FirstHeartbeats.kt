package org.endivestep.egress

/**
 * Decides when a daemon that knows no worker believes that one serves.
 *
 * A heartbeat may arrive seconds late, when its worker has left already and this daemon has lost the message about it by a restart.
 * So a first heartbeat alone is not believed: a later one of the same run confirms it, or an answer of the worker's health
 * endpoint, which has no sequence. A pure state machine. Not thread-safe.
 */
internal class FirstHeartbeats {
    private var unconfirmed: WorkerHeartbeat? = null

    /** Returns whether [heartbeat], with those before it, shows the state of the worker. */
    fun confirms(heartbeat: WorkerHeartbeat): Boolean {
        val before = unconfirmed
        unconfirmed = heartbeat
        return heartbeat.leaving || heartbeat.sequence == HEALTH_ANSWER_SEQUENCE || before?.isOfSameRun(heartbeat) == true
    }

    private fun WorkerHeartbeat.isOfSameRun(other: WorkerHeartbeat) = incarnation == other.incarnation && startedMs == other.startedMs
}

/** Sequence of a heartbeat that was converted from an answer of the worker's health endpoint. */
internal const val HEALTH_ANSWER_SEQUENCE = 0L
