package org.endivestep.ingress

import org.endivestep.choice.KindProfiles
import org.endivestep.document.RouteRule
import org.endivestep.outcome.NotRunReason
import java.util.random.RandomGenerator

/**
 * Computes the delay after which a caller should retry a refused request.
 *
 * The delay is short enough for a timely answer where that is still possible, at most a third of the
 * caller's remaining time, and jittered so that callers do not all retry at once.
 */
internal class RetryDelays(private val profiles: KindProfiles, private val random: RandomGenerator) {
    /** Returns the retry delay in ms after a refusal for [reason]; [rule] is null when no route matched. */
    fun delayMs(rule: RouteRule?, reason: NotRunReason, remainingMs: Long): Long {
        val maxDelayMs = (remainingMs / MAX_DELAY_DIVISOR).coerceAtLeast(1)
        if (rule == null || reason !in overloadReasons) return minOf(jittered(TRANSIENT_DELAY_MS * 2), maxDelayMs)
        val spareMs = rule.objectiveMs - (profiles.usualMs(rule.name) * TYPICAL_WORK_FACTOR).toLong()
        return jittered(if (spareMs > MIN_SPARE_MS) minOf(spareMs, maxDelayMs) else maxDelayMs)
    }

    private fun jittered(maxMs: Long): Long = (maxMs / 2 + random.nextLong(maxMs / 2 + 1)).coerceAtLeast(1)

    private companion object {
        val overloadReasons = setOf(NotRunReason.OVERLOADED, NotRunReason.QUEUE_TIMEOUT)
        const val MAX_DELAY_DIVISOR = 3
        const val TRANSIENT_DELAY_MS = 100L
        const val TYPICAL_WORK_FACTOR = 1.3
        const val MIN_SPARE_MS = 80L
    }
}
