package org.endivestep.freshness

import org.endivestep.concurrent.ExponentialBackoff
import java.util.random.RandomGenerator

/** Decides when a daemon asks the store to confirm its configuration, so that few calls are made. Times are in ms. Not thread-safe. */
internal class StoreSchedule(private val random: RandomGenerator) {
    private val backoff = ExponentialBackoff(2 * MIN_BACKOFF_MS, MAX_BACKOFF_MS, random)
    private var pending = false
    private var lastSentMs = Long.MIN_VALUE / 2
    private var pauseMs = 0L
    private var askAtAgeMs = newAskAtAgeMs()

    /**
     * Whether a question is to be sent at [nowMs], which is then recorded as sent. A reader asks regularly; any other daemon only
     * when its proof of the age [proofAgeMs] is too old, and more rarely the longer the store does not answer: its readers or other
     * daemons will tell it.
     */
    fun isDue(nowMs: Long, isReader: Boolean, proofAgeMs: Long): Boolean {
        if (pending) return false
        val intervalMs = if (isReader) READER_INTERVAL_MS else maxOf(pauseMs, MIN_BACKOFF_MS)
        if (nowMs - lastSentMs < intervalMs || !(isReader || proofAgeMs >= askAtAgeMs)) return false
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
        askAtAgeMs = newAskAtAgeMs()
    }

    // Where no reader reaches the store, the daemons that ask first tell the others, so not all have to ask.
    private fun newAskAtAgeMs(): Long = ConfigurationFreshness.STALE_MS + MIN_PEERS_FIRST_MS + random.nextLong(PEERS_FIRST_SPREAD_MS)

    private companion object {
        const val READER_INTERVAL_MS = 1_400L

        // Time for the peers to answer: a late answer of a reader must not cause a call to the store.
        const val MIN_PEERS_FIRST_MS = 200L
        const val PEERS_FIRST_SPREAD_MS = 1_000L
        const val MIN_BACKOFF_MS = 500L

        // Limits the calls of a large fleet while the store does not answer; refused calls are charged, too.
        const val MAX_BACKOFF_MS = 4_000L
    }
}
