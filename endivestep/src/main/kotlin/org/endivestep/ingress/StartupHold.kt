package org.endivestep.ingress

import org.endivestep.exchange.MessageHeaders

/**
 * Holds the requests that arrive while the daemon starts, until it can serve them.
 *
 * A daemon that has just started knows no configuration or no worker for a short time. Refusing the requests of that time would
 * use up the retries of callers that all come at once. After [STARTUP_MS] nothing is held any more. Thread-safe.
 */
internal class StartupHold(
    private val headers: MessageHeaders,
    private val clockMs: () -> Long,
    private val canServe: (CallerRequest) -> Boolean,
    private val pause: (Long) -> Unit = Thread::sleep,
) {
    private val endMs = clockMs() + STARTUP_MS

    @Volatile
    private var ended = false

    /** Blocks until [request] can be served, its caller has left, or a part of the caller's time has passed. */
    fun hold(request: CallerRequest) {
        if (ended) return
        val untilMs = minOf(endMs, request.arrivedMs + longestMs(request))
        while (!canServe(request) && !request.cancellation.isCancelled && clockMs() < untilMs) pause(POLL_MS)
        ended = clockMs() >= endMs
    }

    private fun longestMs(request: CallerRequest): Long {
        val deadlineMs = request.header(headers.deadlineMs)?.toLongOrNull() ?: return MAX_HOLD_MS
        return minOf(deadlineMs / DEADLINE_DIVISOR, MAX_HOLD_MS)
    }

    private companion object {
        const val STARTUP_MS = 3_000L
        const val MAX_HOLD_MS = 500L
        const val POLL_MS = 10L

        // A refused caller needs the rest of its time for another attempt.
        const val DEADLINE_DIVISOR = 3
    }
}
