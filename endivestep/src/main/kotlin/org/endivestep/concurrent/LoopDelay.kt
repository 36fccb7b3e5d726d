package org.endivestep.concurrent

/**
 * Measures how far an event loop is behind, by a task that the loop should run every [intervalMs]. The task runs while the loop
 * has something to do, and for [IDLE_RUNS] intervals more.
 *
 * What the loop reads from a socket may have waited there that long: the time at which it arrived is not known, and a loop that
 * is behind reads it late. Times are in ms of [clockMs]. All methods but [currentMs] must be called from the loop, on
 * which [schedule] runs a task after a delay.
 */
internal class LoopDelay(
    private val clockMs: () -> Long,
    private val intervalMs: Long = INTERVAL_MS,
    private val schedule: (delayMs: Long, task: () -> Unit) -> Unit,
) {
    private var runsLeft = 0

    // When the task last ran; in the far future while none is scheduled.
    @Volatile
    private var lastRunMs = NEVER_MS

    /** Time in ms for which the loop has not run the task, or 0 when the task is not overdue. */
    val currentMs: Long
        get() {
            val sinceMs = clockMs() - lastRunMs
            return if (sinceMs > intervalMs) sinceMs else 0
        }

    /** Keeps the measurement going, because the loop handles something. */
    fun noteActivity() {
        val isScheduled = runsLeft > 0
        runsLeft = IDLE_RUNS
        if (!isScheduled) scheduleNext()
    }

    private fun scheduleNext() {
        lastRunMs = clockMs()
        schedule(intervalMs, ::run)
    }

    private fun run() {
        runsLeft--
        if (runsLeft > 0) scheduleNext() else lastRunMs = NEVER_MS
    }

    private companion object {
        const val INTERVAL_MS = 100L
        const val IDLE_RUNS = 20
        const val NEVER_MS = Long.MAX_VALUE / 2
    }
}
