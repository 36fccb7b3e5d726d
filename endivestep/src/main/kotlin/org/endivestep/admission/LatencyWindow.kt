package org.endivestep.admission

/** Compares the recent latencies of one worker with its own baseline. Latencies are in ms. */
internal class LatencyWindow {
    /** Number of answers in this window. */
    var count = 0
        private set

    private var sum = 0.0
    private var consecutiveSlow = 0
    private var baseline = 0.0
    private var used = 0

    var failures = 0

    val wasInUse: Boolean get() = used > 0

    fun recordUse(inUse: Boolean) {
        if (inUse) used++
    }

    fun add(latencyMs: Double) {
        count++
        sum += latencyMs
        baseline = if (baseline == 0.0) latencyMs else baseline + (latencyMs - baseline) * smoothingFactor(latencyMs)
        consecutiveSlow = if (latencyMs > baseline * SLOW_FACTOR + SLOW_MARGIN_MS) consecutiveSlow + 1 else 0
    }

    /** Whether the last answers were all slow and the window's mean latency exceeds [tolerance] times the baseline. */
    fun isSlow(tolerance: Double): Boolean =
        consecutiveSlow >= MIN_CONSECUTIVE_SLOW && count >= MIN_CONSECUTIVE_SLOW && sum / count > baseline * tolerance + SLOW_MARGIN_MS

    /** Starts the next window; the baseline is kept. */
    fun startNext() {
        count = 0
        sum = 0.0
        consecutiveSlow = 0
        used = 0
        failures = 0
    }

    /** Clears everything except the baseline, which the latencies of a cold worker are still compared with. */
    fun reset() = startNext()

    // The baseline is a moving average that follows falling latencies quickly and rising ones slowly.
    private fun smoothingFactor(latencyMs: Double): Double = if (latencyMs < baseline) FALL_WEIGHT else RISE_WEIGHT

    private companion object {
        const val SLOW_FACTOR = 2.0
        const val SLOW_MARGIN_MS = 5.0
        const val MIN_CONSECUTIVE_SLOW = 4
        const val FALL_WEIGHT = 0.2
        const val RISE_WEIGHT = 0.005
    }
}
