package org.endivestep.rollout

/**
 * A clock in ms for the age of what must not be used for too long. It also counts the time in which the VM was suspended, which the
 * monotonic clock leaves out, and so runs ahead when the time of day is set forward. Differences
 * below [MIN_SUSPENSION_MS] are ignored. Thread-safe.
 */
internal class SuspensionClock(private val monotonicMs: () -> Long, private val timeOfDayMs: () -> Long) {
    private var lastMonotonicMs = monotonicMs()
    private var lastTimeOfDayMs = timeOfDayMs()
    private var suspendedMs = 0L

    @Synchronized
    fun nowMs(): Long {
        val monotonic = monotonicMs()
        val timeOfDay = timeOfDayMs()
        val uncounted = (timeOfDay - lastTimeOfDayMs) - (monotonic - lastMonotonicMs)
        // Corrections of the time of day that are small happen all the time.
        if (uncounted >= MIN_SUSPENSION_MS) suspendedMs += uncounted
        lastMonotonicMs = monotonic
        lastTimeOfDayMs = timeOfDay
        return monotonic + suspendedMs
    }

    private companion object {
        const val MIN_SUSPENSION_MS = 50L
    }
}
