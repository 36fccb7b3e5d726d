package org.endivestep.quota

import kotlin.math.ceil

/** Bucket of tokens that starts empty. Times are in ms. Not thread-safe. */
internal class TokenBucket(private var filledMs: Long) {
    private var tokens = 0.0
    private var perMs = 0.0
    private var capacity = 0.0

    /** Sets the rate and the capacity; tokens beyond a lower capacity are lost. */
    fun configure(perSecond: Double, newCapacity: Double, nowMs: Long) {
        fill(nowMs)
        perMs = perSecond / MS_PER_SECOND
        capacity = newCapacity
        tokens = minOf(tokens, capacity)
    }

    /** Takes up to [wanted] whole tokens; returns their number. */
    fun take(wanted: Int, nowMs: Long): Int {
        fill(nowMs)
        val taken = minOf(wanted, (tokens + ROUNDING).toInt())
        tokens = (tokens - taken).coerceAtLeast(0.0)
        return taken
    }

    fun putBack(count: Int, nowMs: Long) {
        fill(nowMs)
        tokens = minOf(capacity, tokens + count)
    }

    /** Returns the time until a whole token is there, at least 1 ms and at most [MAX_WAIT_MS]. */
    fun nextTokenMs(nowMs: Long): Long {
        fill(nowMs)
        if (perMs <= 0) return MAX_WAIT_MS
        return ceil((1 - tokens) / perMs).toLong().coerceIn(1, MAX_WAIT_MS)
    }

    private fun fill(nowMs: Long) {
        if (nowMs <= filledMs) return
        tokens = minOf(capacity, tokens + (nowMs - filledMs) * perMs)
        filledMs = nowMs
    }

    companion object {
        const val MAX_WAIT_MS = 60_000L
        private const val MS_PER_SECOND = 1_000.0
        private const val ROUNDING = 1e-9
    }
}
