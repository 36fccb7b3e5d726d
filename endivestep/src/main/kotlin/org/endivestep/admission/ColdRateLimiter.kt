package org.endivestep.admission

/**
 * Sliding-window rate limiter: bounds the requests that a cold worker receives in any [WINDOW_MS].
 *
 * Requests that are sent while the worker is warm count as well, because the worker may turn cold at
 * any moment. What an earlier run of this daemon sent before [startedMs] is not known, so a cold worker receives
 * nothing until a window has passed since then. Times are in ms. Not thread-safe.
 */
internal class ColdRateLimiter(startedMs: Long = NO_EARLIER_RUN) {
    private val unknownUntilMs = startedMs + WINDOW_MS
    private val sentMs = ArrayDeque<Long>()
    private var coldUntilMs = 0L
    private var unknownAfterMs = Long.MAX_VALUE
    private var maxPerWindow = Int.MAX_VALUE

    /**
     * Treats the worker as cold until [untilMs], with a capacity of [perSecond] requests per second, and from [unknownAfterMs] on,
     * when too much time has passed to know.
     */
    fun limitUntil(untilMs: Long, perSecond: Double, unknownAfterMs: Long = Long.MAX_VALUE) {
        coldUntilMs = untilMs
        this.unknownAfterMs = unknownAfterMs
        maxPerWindow = perSecond.toInt().coerceAtLeast(1)
    }

    fun isCold(nowMs: Long): Boolean = nowMs < coldUntilMs || nowMs >= unknownAfterMs

    /** Returns the time until a request may be sent, 0 when it may be sent now. */
    fun delayMs(nowMs: Long): Long {
        if (!isCold(nowMs)) return 0
        val warmAtMs = if (nowMs >= unknownAfterMs) Long.MAX_VALUE else coldUntilMs
        if (nowMs < unknownUntilMs) return minOf(unknownUntilMs, warmAtMs) - nowMs
        dropOld(nowMs)
        if (sentMs.size < maxPerWindow) return 0
        return minOf(sentMs[sentMs.size - maxPerWindow] + WINDOW_MS, warmAtMs) - nowMs
    }

    fun recordSent(nowMs: Long) {
        dropOld(nowMs)
        sentMs.addLast(nowMs)
    }

    private fun dropOld(nowMs: Long) {
        while (sentMs.isNotEmpty() && sentMs.first() <= nowMs - WINDOW_MS) sentMs.removeFirst()
    }

    private companion object {
        /** Start time of a limiter that no earlier run of the daemon can have preceded. */
        const val NO_EARLIER_RUN = Long.MIN_VALUE / 2

        // Longer than a second, because a request may take some ms to reach the worker.
        const val WINDOW_MS = 1_050L
    }
}
