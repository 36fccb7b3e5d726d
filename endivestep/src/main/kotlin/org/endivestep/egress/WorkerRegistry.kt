package org.endivestep.egress

import org.endivestep.identity.ServiceName
import org.endivestep.identity.WorkerIncarnation
import org.endivestep.identity.WorkerRunId
import org.endivestep.identity.WorkerVersion
import org.endivestep.identity.workerRunId
import org.endivestep.rollout.unstatedVersion
import org.endivestep.settings.Address

/** Data that a worker sends to register with its daemon. */
internal data class Announcement(
    val service: ServiceName,
    val address: Address,
    val incarnation: WorkerIncarnation,
    val leaving: Boolean,
    val capacity: WorkerCapacity? = null,
    val version: WorkerVersion? = null,
) {
    val run: WorkerRunId get() = workerRunId(incarnation, startedMs)

    /** [version], or [unstatedVersion] when the worker's heartbeats state none; null before its first heartbeat. */
    val statedVersion: WorkerVersion? get() = version ?: unstatedVersion.takeIf { startedMs != UNKNOWN_START_MS }

    /** Start of the worker in ms by its clock, [UNKNOWN_START_MS] if it has not reported one. */
    val startedMs: Long get() = capacity?.startedMs ?: UNKNOWN_START_MS

    /** Whether [other] comes from the same run. A restarted worker may reuse its previous incarnation. */
    fun isSameRunAs(other: Announcement): Boolean =
        incarnation == other.incarnation && (startedMs == other.startedMs || UNKNOWN_START_MS in setOf(startedMs, other.startedMs))
}

/** Start time of a worker that has not reported one. */
internal const val UNKNOWN_START_MS = 0L

/** Maximum number of concurrent requests of a worker, and its start time in ms by its own clock. */
internal data class WorkerCapacity(val slots: Int, val startedMs: Long)

/** Lifecycle of this daemon's worker. */
internal enum class WorkerPhase { SERVING, LEAVING, DIED }

internal data class LocalWorker(val announcement: Announcement, val phase: WorkerPhase)

/** Effect of an announcement on the registry. */
internal sealed interface AnnouncementEffect {
    data object Unchanged : AnnouncementEffect

    /** The worker is new, or is available again after it died. */
    data class Started(val worker: LocalWorker) : AnnouncementEffect

    /** Another run of the worker started although the earlier one had not announced that it was leaving. */
    data class Replaced(val died: LocalWorker, val worker: LocalWorker) : AnnouncementEffect

    data class Leaving(val worker: LocalWorker) : AnnouncementEffect
}

/** Tracks this daemon's worker. A pure state machine. Thread-safe. */
internal class WorkerRegistry {
    @Volatile
    var worker: LocalWorker? = null
        private set

    @Synchronized
    fun announce(announcement: Announcement): AnnouncementEffect {
        val before = worker
        val phase = if (announcement.leaving) WorkerPhase.LEAVING else WorkerPhase.SERVING
        val same = before != null && before.announcement.isSameRunAs(announcement)
        // A worker that has announced that it is leaving never serves again in the same run.
        if (same && before?.phase == WorkerPhase.LEAVING && !isLaterRun(before, announcement)) return AnnouncementEffect.Unchanged
        if (same && before?.phase == phase && before.announcement == announcement) return AnnouncementEffect.Unchanged
        val after = LocalWorker(announcement, phase)
        worker = after
        return when {
            phase == WorkerPhase.LEAVING -> AnnouncementEffect.Leaving(after)
            before != null && !same && before.phase == WorkerPhase.SERVING -> AnnouncementEffect.Replaced(before, after)
            else -> AnnouncementEffect.Started(after)
        }
    }

    // Heartbeats of the run that left are older than its leave message, so a start that is told only now is that of a later run.
    private fun isLaterRun(left: LocalWorker, announcement: Announcement): Boolean =
        left.announcement.startedMs == UNKNOWN_START_MS && announcement.startedMs != UNKNOWN_START_MS

    /** Records that the run [died]; returns the worker as it was before, or null if another run has started or the death is known. */
    @Synchronized
    fun markDead(died: LocalWorker): LocalWorker? {
        val before = worker ?: return null
        if (!before.announcement.isSameRunAs(died.announcement) || before.phase == WorkerPhase.DIED) return null
        worker = before.copy(phase = WorkerPhase.DIED)
        return before
    }
}
