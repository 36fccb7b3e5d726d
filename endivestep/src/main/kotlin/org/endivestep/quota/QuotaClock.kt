package org.endivestep.quota

/**
 * Clock in ms that also counts the time during which the VM was suspended, when its monotonic clock stands still and the time of day does
 * not. A step of the time of day forward counts as a suspension; one back changes nothing.
 * Differences up to [TOLERANCE_MS] are ignored until they add up to more. Thread-safe.
 */
internal class QuotaClock(private val monotonicMs: () -> Long, private val timeOfDayMs: () -> Long) {
    private var offsetMs = timeOfDayMs() - monotonicMs()
    private var suspendedMs = 0L

    @Synchronized
    fun nowMs(): Long {
        val monotonic = monotonicMs()
        val offset = timeOfDayMs() - monotonic
        val gained = offset - offsetMs
        // Smaller differences are rounding, or the adjustment of the time of day to its reference.
        if (gained > TOLERANCE_MS) suspendedMs += gained
        if (gained > TOLERANCE_MS || gained < 0) offsetMs = offset
        return monotonic + suspendedMs
    }

    private companion object {
        const val TOLERANCE_MS = 50L
    }
}
