package org.endivestep.egress

import org.endivestep.identity.ServiceName
import org.endivestep.identity.WorkerIncarnation
import org.endivestep.settings.Address

/** What a worker says of itself when it announces itself to its daemon. */
internal data class Announcement(
    val service: ServiceName,
    val address: Address,
    val incarnation: WorkerIncarnation,
    val leaving: Boolean,
    val capacity: WorkerCapacity? = null,
)

/** Start of a worker that has not said when it started. */
internal const val UNKNOWN_START_MS = 0L

/** Requests that a worker runs at the same time, and when it started on its own clock, in ms. */
internal data class WorkerCapacity(val slots: Int, val startedMs: Long)

/** Life of the worker beside this daemon. */
internal enum class WorkerPhase { SERVING, LEAVING, DIED }

internal data class LocalWorker(val announcement: Announcement, val phase: WorkerPhase)

/** What an announcement changed. */
internal sealed interface AnnouncementEffect {
    data object Unchanged : AnnouncementEffect

    /** A worker that was not there before, or that came back after it died. */
    data class Started(val worker: LocalWorker) : AnnouncementEffect

    /** Another run of the worker began without the earlier one having left. */
    data class Replaced(val died: LocalWorker, val worker: LocalWorker) : AnnouncementEffect

    data class Leaving(val worker: LocalWorker) : AnnouncementEffect
}

/** The worker beside this daemon. A pure state machine. Thread-safe. */
internal class WorkerRegistry {
    @Volatile
    var worker: LocalWorker? = null
        private set

    @Synchronized
    fun announce(announcement: Announcement): AnnouncementEffect {
        val before = worker
        val phase = if (announcement.leaving) WorkerPhase.LEAVING else WorkerPhase.SERVING
        val same = before != null && isSameRun(before.announcement, announcement)
        // A worker that said that it leaves does not come back in the same run.
        if (same && before?.phase == WorkerPhase.LEAVING) return AnnouncementEffect.Unchanged
        if (same && before?.phase == phase && before.announcement == announcement) return AnnouncementEffect.Unchanged
        val after = LocalWorker(announcement, phase)
        worker = after
        return when {
            phase == WorkerPhase.LEAVING -> AnnouncementEffect.Leaving(after)
            before != null && !same && before.phase == WorkerPhase.SERVING -> AnnouncementEffect.Replaced(before, after)
            else -> AnnouncementEffect.Started(after)
        }
    }

    // A worker may start again under the incarnation that it had.
    private fun isSameRun(before: Announcement, after: Announcement): Boolean {
        val startedMs = listOf(before, after).map { it.capacity?.startedMs ?: UNKNOWN_START_MS }
        return before.incarnation == after.incarnation && (startedMs[0] == startedMs[1] || UNKNOWN_START_MS in startedMs)
    }

    /** Notes that [incarnation] is gone; returns the worker when it was thought to serve or leave. */
    @Synchronized
    fun died(incarnation: WorkerIncarnation): LocalWorker? {
        val before = worker ?: return null
        if (before.announcement.incarnation != incarnation || before.phase == WorkerPhase.DIED) return null
        worker = before.copy(phase = WorkerPhase.DIED)
        return before
    }
}
