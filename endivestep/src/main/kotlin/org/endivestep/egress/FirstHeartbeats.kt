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

    /**
     * Returns the state of the worker that [heartbeat], with those before it, confirms; null when nothing confirms it yet. A health
     * answer that confirms an earlier heartbeat completes it: only the heartbeat tells when the worker started, and its version.
     */
    fun confirm(heartbeat: WorkerHeartbeat): WorkerHeartbeat? {
        val before = unconfirmed
        if (heartbeat.isHealthAnswer) {
            return before?.takeIf { it.incarnation == heartbeat.incarnation }?.copy(coldMs = heartbeat.coldMs)
                ?: heartbeat
        }
        unconfirmed = heartbeat
        return heartbeat.takeIf { it.leaving || before?.isOfSameRun(it) == true }
    }

    private fun WorkerHeartbeat.isOfSameRun(other: WorkerHeartbeat) = incarnation == other.incarnation && startedMs == other.startedMs
}

/** Sequence of a heartbeat that was converted from an answer of the worker's health endpoint. */
internal const val HEALTH_ANSWER_SEQUENCE = 0L

/** Whether this was converted from an answer of the worker's health endpoint, which shows the worker as it is now. */
internal val WorkerHeartbeat.isHealthAnswer: Boolean get() = sequence == HEALTH_ANSWER_SEQUENCE && !leaving
