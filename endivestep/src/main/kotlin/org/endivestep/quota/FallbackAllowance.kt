package org.endivestep.quota

import java.util.random.RandomGenerator

/**
 * Allowance of one team at a daemon that reaches none of the team's owners: one request in each period.
 *
 * The first period has a random length, and an unused allowance lapses after [VALID_MS]: otherwise many daemons, each with an allowance of
 * far less than a request, would use theirs at the same time. A pure state machine. Not thread-safe.
 */
internal class FallbackAllowance(private val random: RandomGenerator) {
    private var nextMs = NONE

    val isActive: Boolean get() = nextMs != NONE

    fun begin(periodMs: Long, nowMs: Long) {
        if (!isActive) nextMs = nowMs + random.nextLong(periodMs.coerceAtLeast(1))
    }

    fun end() {
        nextMs = NONE
    }

    /** Takes one request's allowance if there is one. */
    fun tryTake(periodMs: Long, nowMs: Long): Boolean {
        if (!isActive) return false
        val period = periodMs.coerceAtLeast(1)
        if (nowMs > nextMs + VALID_MS) nextMs += (nowMs - VALID_MS - nextMs + period - 1) / period * period
        if (nowMs < nextMs) return false
        nextMs += period
        return true
    }

    /** Returns the time until the next allowance. */
    fun nextMs(nowMs: Long): Long = (nextMs - nowMs).coerceAtLeast(0)

    private companion object {
        const val NONE = Long.MIN_VALUE
        const val VALID_MS = 1_000L
    }
}
