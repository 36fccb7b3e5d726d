package org.endivestep.admission

/**
 * Limits the requests that a cold worker gets in any span of [WINDOW_MS].
 *
 * Requests that are sent while the worker is warm are counted as well, because the worker may turn
 * cold at any moment. Times are in ms. Not thread-safe.
 */
internal class ColdPace {
    private val sentMs = ArrayDeque<Long>()
    private var coldUntilMs = 0L
    private var bound = Int.MAX_VALUE

    /** The worker is cold until [untilMs] and bears [perSecond] requests a second. */
    fun cold(untilMs: Long, perSecond: Double) {
        coldUntilMs = untilMs
        bound = perSecond.toInt().coerceAtLeast(1)
    }

    fun isCold(nowMs: Long): Boolean = nowMs < coldUntilMs

    /** Returns how long a request must wait to be sent, 0 when it may be sent now. */
    fun delayMs(nowMs: Long): Long {
        if (!isCold(nowMs)) return 0
        forget(nowMs)
        if (sentMs.size < bound) return 0
        return minOf(sentMs[sentMs.size - bound] + WINDOW_MS, coldUntilMs) - nowMs
    }

    /** Notes that a request was sent. */
    fun sent(nowMs: Long) {
        forget(nowMs)
        sentMs.addLast(nowMs)
    }

    private fun forget(nowMs: Long) {
        while (sentMs.isNotEmpty() && sentMs.first() <= nowMs - WINDOW_MS) sentMs.removeFirst()
    }

    private companion object {
        // Longer than a second, because a request may be under way for some ms.
        const val WINDOW_MS = 1_050L
    }
}
