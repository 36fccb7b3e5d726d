package org.endivestep.freshness

import org.endivestep.concurrent.ExponentialBackoff
import java.util.random.RandomGenerator

/** Decides when a daemon asks the store to confirm its configuration, so that few calls are made. Times are in ms. Not thread-safe. */
internal class StoreSchedule(random: RandomGenerator) {
    private val backoff = ExponentialBackoff(2 * MIN_BACKOFF_MS, MAX_BACKOFF_MS, random)
    private var pending = false
    private var lastSentMs = Long.MIN_VALUE / 2
    private var pauseMs = 0L

    /**
     * Whether a question is to be sent at [nowMs], which is then recorded as sent. A reader asks regularly; any other daemon only
     * while its proof is stale, and more rarely the longer the store does not answer: its readers or other daemons will tell it.
     */
    fun isDue(nowMs: Long, isReader: Boolean, isStale: Boolean): Boolean {
        if (pending) return false
        val intervalMs = if (isReader) READER_INTERVAL_MS else maxOf(pauseMs, MIN_BACKOFF_MS)
        if (nowMs - lastSentMs < intervalMs || !(isReader || isStale)) return false
        pending = true
        lastSentMs = nowMs
        return true
    }

    /** Records the end of the question sent at [sentMs]. */
    fun answered(sentMs: Long, succeeded: Boolean) {
        pending = false
        lastSentMs = maxOf(lastSentMs, sentMs)
        if (succeeded) backoff.reset()
        pauseMs = if (succeeded) 0 else backoff.nextDelayMs()
    }

    private companion object {
        const val READER_INTERVAL_MS = 700L
        const val MIN_BACKOFF_MS = 500L

        // Every daemon of a large fleet asks while the store is out, and refused calls are priced, too.
        const val MAX_BACKOFF_MS = 4_000L
    }
}
