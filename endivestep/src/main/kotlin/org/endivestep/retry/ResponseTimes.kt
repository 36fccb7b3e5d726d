package org.endivestep.retry

import kotlin.math.ln
import kotlin.math.pow

/**
 * Distribution of the response times of one kind of request, as a histogram with buckets of a constant ratio.
 *
 * Samples lose half of their weight in [HALF_LIFE_MS], so that the distribution follows the load; its memory is constant.
 * A pure state machine: times are in ms. Not thread-safe.
 */
internal class ResponseTimes {
    private val weights = DoubleArray(BUCKETS)
    private var total = 0.0

    // Later samples get a greater weight, which has the effect of a decay of the earlier ones without touching them.
    private var sampleWeight = 1.0
    private var sampleMs = 0L

    /** Records a response after [elapsedMs]. */
    fun add(elapsedMs: Double, nowMs: Long) {
        advance(nowMs)
        weights[bucketOf(elapsedMs)] += sampleWeight
        total += sampleWeight
    }

    /**
     * Records an attempt that was given up after [elapsedMs], as one that would have taken the usual time of those that took
     * longer: counting it as a response at that moment would hide the long times that hedging avoids.
     */
    fun addUnfinished(elapsedMs: Double, nowMs: Long) = add(elapsedMs + meanLeftMs(elapsedMs), nowMs)

    /** Returns the time within which the share [quantile] of the responses came, or null when there are too few recent samples. */
    fun quantileMs(quantile: Double, nowMs: Long): Double? {
        advance(nowMs)
        if (total / sampleWeight < MIN_WEIGHT) return null
        var rest = total * quantile
        val bucket = weights.indices.firstOrNull { index ->
            rest -= weights[index]
            rest <= 0
        }
        return upperMs(bucket ?: (BUCKETS - 1))
    }

    /** Returns the mean time that a response still takes that has not come after [elapsedMs]; 0 when none took longer. */
    fun meanLeftMs(elapsedMs: Double): Double {
        var weight = 0.0
        var leftMs = 0.0
        for (bucket in bucketOf(elapsedMs) + 1 until BUCKETS) {
            weight += weights[bucket]
            leftMs += weights[bucket] * (middleMs(bucket) - elapsedMs)
        }
        return if (weight > 0) leftMs / weight else 0.0
    }

    private fun advance(nowMs: Long) {
        sampleWeight *= 2.0.pow((nowMs - sampleMs).coerceAtLeast(0) / HALF_LIFE_MS)
        sampleMs = maxOf(sampleMs, nowMs)
        if (sampleWeight > MAX_SAMPLE_WEIGHT) rescale()
    }

    private fun rescale() {
        val scale = if (sampleWeight.isInfinite()) 0.0 else 1.0 / sampleWeight
        weights.indices.forEach { weights[it] *= scale }
        total *= scale
        sampleWeight = 1.0
    }

    private fun bucketOf(ms: Double): Int = (ln(ms.coerceAtLeast(1.0)) / lnRatio).toInt().coerceAtMost(BUCKETS - 1)

    private fun upperMs(bucket: Int): Double = RATIO.pow(bucket + 1)

    private fun middleMs(bucket: Int): Double = RATIO.pow(bucket + MIDDLE)

    private companion object {
        const val BUCKETS = 96
        const val RATIO = 1.1
        const val MIDDLE = 0.5
        val lnRatio = ln(RATIO)
        const val HALF_LIFE_MS = 20_000.0

        /** Number of samples below which the 0.95 quantile is one sample's time. */
        const val MIN_WEIGHT = 20.0
        const val MAX_SAMPLE_WEIGHT = 1e100
    }
}
