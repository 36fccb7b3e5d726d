package org.endivestep.concurrent

import java.util.random.RandomGenerator

/**
 * Exponential backoff for operations that may fail for a long time: the delay doubles from [firstMs] to
 * [maxMs] with a jitter of up to half, so that many daemons do not retry at the same moment. Not thread-safe.
 */
internal class ExponentialBackoff(private val firstMs: Long, private val maxMs: Long, private val random: RandomGenerator) {
    private var nextMs = firstMs

    /** Returns the delay in ms before the next retry, after a failure. */
    fun nextDelayMs(): Long {
        val base = nextMs
        nextMs = minOf(maxMs, nextMs * 2)
        return base / 2 + random.nextLong(base / 2 + 1)
    }

    /** Resets the delay after a success. */
    fun reset() {
        nextMs = firstMs
    }
}
