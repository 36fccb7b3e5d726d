package org.endivestep.freshness

/**
 * Clock in ms that goes on while the VM is suspended, and never runs slower than real time.
 *
 * The monotonic clock stops while a VM is suspended, and the time of day may be set back. Between two readings, this clock
 * therefore advances by the greater of both differences. It must be read often: a time of day that is set back between the
 * same two readings as a suspension hides the suspension. A time of day that is set forward makes the clock jump ahead.
 * Thread-safe.
 */
internal class ElapsedClock(private val monotonicMs: () -> Long, private val timeOfDayMs: () -> Long) {
    private var baseMonotonicMs = monotonicMs()
    private var baseTimeOfDayMs = timeOfDayMs()
    private var baseMs = 0L

    /** Returns the time since the creation of this clock in ms. */
    @Synchronized
    fun nowMs(): Long {
        val monotonic = monotonicMs()
        val timeOfDay = timeOfDayMs()
        val elapsedMs = maxOf(monotonic - baseMonotonicMs, timeOfDay - baseTimeOfDayMs)
        if (elapsedMs < MIN_STEP_MS) return baseMs + elapsedMs
        baseMonotonicMs = monotonic
        baseTimeOfDayMs = timeOfDay
        baseMs += elapsedMs
        return baseMs
    }

    private companion object {
        // Each step may add up to 1 ms, because the two clocks change their ms at different moments.
        const val MIN_STEP_MS = 100L
    }
}
