package org.endivestep.admission

/** Change of whether a worker's queue refuses requests. */
internal sealed interface RefusalChange {
    data object Started : RefusalChange

    /** Nothing was refused for a while; [refused] requests were refused in [durationMs]. */
    data class Ended(val refused: Int, val durationMs: Long) : RefusalChange
}

/**
 * Tells when a worker's queue starts and stops refusing requests. Refusals less than [QUIET_MS] apart belong to one period, which bounds
 * the number of changes.
 *
 * A pure state machine: times are in ms. Not thread-safe.
 */
internal class RefusalPeriods {
    private var startedMs = 0L
    private var lastRefusedMs = 0L
    private var refused = 0

    /** Records a decision on a request; returns the change that it makes known, or null. */
    fun record(isRefused: Boolean, nowMs: Long): RefusalChange? {
        if (refused > 0 && nowMs - lastRefusedMs >= QUIET_MS) return end().also { if (isRefused) begin(nowMs) }
        if (!isRefused) return null
        if (refused == 0) return RefusalChange.Started.also { begin(nowMs) }
        refused++
        lastRefusedMs = nowMs
        return null
    }

    private fun begin(nowMs: Long) {
        startedMs = nowMs
        lastRefusedMs = nowMs
        refused = 1
    }

    private fun end(): RefusalChange = RefusalChange.Ended(refused, lastRefusedMs - startedMs).also { refused = 0 }

    companion object {
        const val QUIET_MS = 5_000L
    }
}
