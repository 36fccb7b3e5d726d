package org.endivestep.admission

import org.endivestep.identity.TeamName

/** Expected processing time in ms of a request whose kind has not been measured yet. */
internal const val UNKNOWN_WORK_MS = 100.0

/**
 * Start-time fair queueing between the teams that wait for one worker, over the expected processing time of their requests.
 *
 * Each team has a virtual finish time, to which the work of each of its requests is added when the request begins. The virtual time
 * of the queue follows the waiting team that was served least. A team that was idle starts at the virtual time, so it neither waits
 * behind the backlog of another team nor saves up shares. What is refused or leaves the queue is not charged.
 *
 * A pure state machine: times are in ms. Not thread-safe.
 */
internal class FairShares {
    private val finishMs = HashMap<TeamName, Double>()
    private var virtualMs = 0.0

    val teamCount: Int get() = finishMs.size

    /** Returns the work in ms by which [team] is ahead of an idle team. */
    fun leadMs(team: TeamName): Double = ((finishMs[team] ?: 0.0) - virtualMs).coerceAtLeast(0.0)

    /**
     * Charges [workMs] to [team], whose request begins. [leastWaitingLeadMs] is the smallest lead of the teams that still wait, infinite
     * when none does.
     */
    fun recordBegun(team: TeamName, workMs: Double, leastWaitingLeadMs: Double) {
        val leadMs = leadMs(team)
        virtualMs += minOf(leadMs, leastWaitingLeadMs)
        finishMs[team] = minOf(maxOf(finishMs[team] ?: 0.0, virtualMs) + workMs, virtualMs + MAX_LEAD_MS)
        if (finishMs.size > MAX_TEAMS) forgetIdle()
    }

    /** Records that nobody waited for [elapsedMs]: what teams used of free slots took nothing from others. */
    fun recordCalm(elapsedMs: Long) {
        if (finishMs.isEmpty()) return
        virtualMs += elapsedMs
        finishMs.values.removeIf { it <= virtualMs }
    }

    // Teams without a lead need no state. When too many have one, the smallest is dropped.
    private fun forgetIdle() {
        finishMs.values.removeIf { it <= virtualMs }
        if (finishMs.size > MAX_TEAMS) finishMs.entries.minByOrNull { it.value }?.let { finishMs.remove(it.key) }
    }

    private companion object {
        const val MAX_TEAMS = 256

        // Bounds how long a team that was served beyond its share yields to others.
        const val MAX_LEAD_MS = 3_000.0
    }
}
