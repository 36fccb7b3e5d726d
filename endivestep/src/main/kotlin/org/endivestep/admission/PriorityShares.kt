package org.endivestep.admission

/**
 * How the priorities of the requests that begin at one worker share its slots: the floor that lower priorities keep, and what is left
 * to a priority by those that go before it.
 *
 * The floor prevents that a priority starves while higher ones take all slots. Each priority that has requests of teams has a credit
 * in ms of work: work of higher priorities that begins adds to it, work of its own is taken from it. A request whose work the credit
 * covers may begin before those of higher priorities.
 *
 * A pure state machine: times are in ms. Not thread-safe.
 */
internal class PriorityShares {
    private class Level {
        var hasFloor = false
        var creditMs = 0.0

        /** Recent work of requests without a lead and with one, see [FairShares]. */
        var equalMs = 0.0
        var leadingMs = 0.0
    }

    private val levels = Array(LEVELS) { Level() }
    private var decayedMs = 0L

    /** Records that a request of a team with [priority] arrived; other priorities have no floor. */
    fun recordArrival(priority: Int) {
        level(priority).hasFloor = true
    }

    /** Returns the work in ms that requests of [priority] may begin before those of higher priorities. */
    fun creditMs(priority: Int): Double = level(priority).creditMs

    /** Records that a request of [priority] with [workMs] of expected work begins; [hasLead] tells whether its team was ahead of others. */
    fun recordBegun(priority: Int, workMs: Double, hasLead: Boolean, nowMs: Long) {
        decay(nowMs)
        val own = level(priority)
        own.creditMs = (own.creditMs - workMs).coerceAtLeast(0.0)
        if (hasLead) own.leadingMs += workMs else own.equalMs += workMs
        for (lower in index(priority) + 1 until LEVELS) {
            levels[lower].takeIf { it.hasFloor }?.run { creditMs = (creditMs + workMs * FLOOR_SHARE).coerceAtMost(MAX_CREDIT_MS) }
        }
    }

    /**
     * Returns the share of the time of [slots] that is left to requests of [priority] by those that recently went before them, at
     * least the floor.
     */
    fun remainingShare(priority: Int, hasLead: Boolean, slots: Int, nowMs: Long): Double {
        decay(nowMs)
        val index = index(priority)
        var beforeMs = if (hasLead) levels[index].equalMs else 0.0
        for (higher in 0 until index) beforeMs += levels[higher].equalMs + levels[higher].leadingMs
        return (1 - beforeMs / (slots * DECAY_MS)).coerceAtLeast(FLOOR_SHARE)
    }

    private fun decay(nowMs: Long) {
        val elapsedMs = nowMs - decayedMs
        if (elapsedMs < DECAY_STEP_MS) return
        decayedMs = nowMs
        val factor = Math.exp(-elapsedMs / DECAY_MS)
        levels.forEach {
            it.equalMs *= factor
            it.leadingMs *= factor
        }
    }

    private fun level(priority: Int): Level = levels[index(priority)]

    private fun index(priority: Int): Int = priority.coerceIn(0, LEVELS - 1)

    companion object {
        /** Share of the slots' time that each lower priority keeps. */
        const val FLOOR_SHARE = 0.1

        private const val LEVELS = 8

        // Enough for one request of a slow kind, so that saved credit cannot displace several urgent requests in a row.
        private const val MAX_CREDIT_MS = 300.0

        private const val DECAY_MS = 1_000.0
        private const val DECAY_STEP_MS = 10L
    }
}
