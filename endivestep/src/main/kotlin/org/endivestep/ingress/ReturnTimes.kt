package org.endivestep.ingress

import org.endivestep.choice.KindProfiles
import org.endivestep.document.RouteRule
import org.endivestep.outcome.NotRunReason
import java.util.random.RandomGenerator

/**
 * Decides when a caller whose request was refused should send it again.
 *
 * Soon enough to be answered in time where that is still possible, never later than a third of the
 * time that the caller has left, and spread so that callers do not return in step.
 */
internal class ReturnTimes(private val profiles: KindProfiles, private val random: RandomGenerator) {
    /** Returns the time in ms after a refusal for [reason]; [rule] is null when no route matched. */
    fun returnMs(rule: RouteRule?, reason: NotRunReason, remainingMs: Long): Long {
        val longestMs = (remainingMs / LONGEST_SHARE).coerceAtLeast(1)
        if (rule == null || reason !in fullReasons) return minOf(spread(PASSING_MS * 2), longestMs)
        val spareMs = rule.objectiveMs - (profiles.usualMs(rule.name) * TYPICAL_WORK_FACTOR).toLong()
        return spread(if (spareMs > LEAST_SPARE_MS) minOf(spareMs, longestMs) else longestMs)
    }

    private fun spread(mostMs: Long): Long = (mostMs / 2 + random.nextLong(mostMs / 2 + 1)).coerceAtLeast(1)

    private companion object {
        val fullReasons = setOf(NotRunReason.OVERLOADED, NotRunReason.QUEUE_TIMEOUT)
        const val LONGEST_SHARE = 3
        const val PASSING_MS = 100L
        const val TYPICAL_WORK_FACTOR = 1.3
        const val LEAST_SPARE_MS = 80L
    }
}
