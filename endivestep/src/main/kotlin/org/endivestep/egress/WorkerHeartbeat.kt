package org.endivestep.egress

import org.endivestep.identity.ServiceName
import org.endivestep.identity.WorkerIncarnation

/**
 * What the worker beside this daemon says of itself.
 *
 * [service] is null when it only says that it leaves. [sequence] grows within one run of the worker,
 * which began at [startedMs] by the worker's clock. The worker runs [slots] requests at a time and
 * is cold for another [coldMs].
 */
internal data class WorkerHeartbeat(
    val incarnation: WorkerIncarnation,
    val service: ServiceName?,
    val startedMs: Long,
    val sequence: Long,
    val slots: Int,
    val coldMs: Long,
    val leaving: Boolean,
)

/**
 * Tells which heartbeats are news: a heartbeat may arrive after a later one of the same run, or after
 * another run has begun at the same address. A pure state machine. Not thread-safe.
 */
internal class HeartbeatOrder {
    private var latest: WorkerHeartbeat? = null

    fun isNews(heartbeat: WorkerHeartbeat): Boolean {
        val known = latest
        val news = known == null || heartbeat.isAfter(known)
        if (news) latest = heartbeat
        return news
    }

    private fun WorkerHeartbeat.isAfter(known: WorkerHeartbeat): Boolean {
        val sameRun = incarnation == known.incarnation && (startedMs == known.startedMs || startedMs == 0L)
        if (sameRun) return sequence > known.sequence
        // A departure does not always say which run it is of; one of another incarnation is not this worker's.
        if (service == null) return false
        return startedMs > known.startedMs
    }
}
