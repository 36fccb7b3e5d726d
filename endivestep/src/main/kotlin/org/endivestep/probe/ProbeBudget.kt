package org.endivestep.probe

import org.endivestep.document.ProbeSettings

/**
 * Token bucket that limits the probes of one worker to their share of its slots.
 *
 * A pure state machine: times are in ms. Not thread-safe.
 */
internal class ProbeBudget(settings: ProbeSettings, slots: Int, private val clockMs: () -> Long) {
    private var probesPerMs = probesPerMs(settings, slots)
    private var tokens = 1.0
    private var refilledMs = clockMs()

    /** Number of probes spent since the start. */
    var spent = 0L
        private set

    fun configure(settings: ProbeSettings, slots: Int) {
        refill()
        probesPerMs = probesPerMs(settings, slots)
    }

    /** Takes one probe out of the budget; returns false when none is left. */
    fun trySpend(): Boolean {
        refill()
        if (tokens < 1.0) return false
        tokens -= 1.0
        spent++
        return true
    }

    private fun refill() {
        val nowMs = clockMs()
        tokens = (tokens + (nowMs - refilledMs).coerceAtLeast(0) * probesPerMs).coerceAtMost(1.0)
        refilledMs = nowMs
    }

    private fun probesPerMs(settings: ProbeSettings, slots: Int): Double = settings.share * slots / settings.costMs
}
