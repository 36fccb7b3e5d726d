package org.endivestep.protocol

/**
 * Bounds the monotonic clock of another daemon from below, by the times that its messages bear.
 *
 * A message was sent before it arrived, so at its arrival the peer's clock showed at least the time that the message bears. The greatest
 * difference between the two clocks that a message has proved holds for all other times as well. It is never more than the true
 * one while both clocks run alike; what they drift apart in one to two [windowMs], after which a proof is forgotten, is the error.
 * A clock that was suspended is found by [reset]. Thread-safe.
 */
internal class PeerClock(private val windowMs: Long = WINDOW_MS) {
    private var windowStartMs = 0L
    private var greatestMs = NONE
    private var greatestBeforeMs = NONE

    /** Notes that a message which the peer sent at [peerMs] by its clock had arrived at [arrivedMs] by ours. */
    @Synchronized
    fun note(peerMs: Long, arrivedMs: Long) {
        advance(arrivedMs)
        greatestMs = maxOf(greatestMs, peerMs - arrivedMs)
    }

    /** Returns a time that the peer's clock has certainly reached at [nowMs] by ours, or null when no recent message proves any. */
    @Synchronized
    fun earliestMs(nowMs: Long): Long? {
        advance(nowMs)
        val differenceMs = maxOf(greatestMs, greatestBeforeMs)
        return if (differenceMs == NONE) null else nowMs + differenceMs
    }

    /** Forgets all proofs. */
    @Synchronized
    fun reset() {
        greatestMs = NONE
        greatestBeforeMs = NONE
    }

    private fun advance(nowMs: Long) {
        val ageMs = nowMs - windowStartMs
        if (ageMs < windowMs) return
        greatestBeforeMs = if (ageMs < 2 * windowMs) greatestMs else NONE
        greatestMs = NONE
        windowStartMs = nowMs
    }

    private companion object {
        const val WINDOW_MS = 60_000L
        const val NONE = Long.MIN_VALUE
    }
}
