package org.endivestep.ring

import java.util.random.RandomGenerator

/**
 * Pauses between attempts at something that may fail for long: they double from [firstMs] to [maxMs]
 * and are spread by up to half, so that many daemons do not return at the same moment. Not thread-safe.
 */
internal class RetryPacing(private val firstMs: Long, private val maxMs: Long, private val random: RandomGenerator) {
    private var nextMs = firstMs

    /** Returns the pause in ms after another failure. */
    fun pauseMs(): Long {
        val base = nextMs
        nextMs = minOf(maxMs, nextMs * 2)
        return base / 2 + random.nextLong(base / 2 + 1)
    }

    /** Notes a success. */
    fun reset() {
        nextMs = firstMs
    }
}
