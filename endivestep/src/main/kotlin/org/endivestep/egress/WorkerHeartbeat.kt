package org.endivestep.egress

import org.endivestep.identity.ServiceName
import org.endivestep.identity.WorkerIncarnation
import org.endivestep.identity.WorkerVersion

/**
 * Status that this daemon's worker reports periodically.
 *
 * [service] is null when the heartbeat only announces that the worker is leaving. [sequence] increases
 * within one run of the worker, which started at [startedMs] by the worker's clock. The worker runs up to
 * [slots] requests at the same time and is cold for another [coldMs].
 */
internal data class WorkerHeartbeat(
    val incarnation: WorkerIncarnation,
    val service: ServiceName?,
    val startedMs: Long,
    val sequence: Long,
    val slots: Int,
    val coldMs: Long,
    val leaving: Boolean,
    /** Version of the worker's software, null when the heartbeat does not report it. */
    val version: WorkerVersion? = null,
)

/**
 * Filters out stale heartbeats: a heartbeat may arrive after a later one of the same run, or after another
 * run has started at the same address. A pure state machine; [clockMs] is the wall clock of the worker's VM. Not thread-safe.
 */
internal class HeartbeatFilter(private val clockMs: () -> Long) {
    private var latest: WorkerHeartbeat? = null
    private var latestAtMs = 0L

    fun isNewer(heartbeat: WorkerHeartbeat): Boolean {
        val known = latest
        val newer = known == null || heartbeat.isAfter(known)
        if (newer) {
            latest = heartbeat
            latestAtMs = clockMs()
        }
        return newer
    }

    private fun WorkerHeartbeat.isAfter(known: WorkerHeartbeat): Boolean {
        val leftUnknownRun = known.service == null && known.startedMs == UNKNOWN_START_MS
        if (leftUnknownRun && incarnation == known.incarnation) return isAfterUnknownRun()
        val sameRun = incarnation == known.incarnation && (startedMs == known.startedMs || startedMs == 0L)
        if (sameRun) return sequence > known.sequence
        // A heartbeat that only announces leaving may lack its start time; with another incarnation, it does not concern the known run.
        if (service == null) return false
        return startedMs > known.startedMs
    }

    // Which run of the id left is not known, but it had started by then. The clock may have been wrong, so this holds only for a while.
    private fun WorkerHeartbeat.isAfterUnknownRun() = startedMs > latestAtMs || clockMs() - latestAtMs > MAX_LATENESS_MS

    private companion object {
        /** Time after which no heartbeat of a run that has left arrives any more. */
        const val MAX_LATENESS_MS = 10_000L
    }
}
