package org.endivestep.daemon

import io.github.oshai.kotlinlogging.KotlinLogging
import org.endivestep.egress.Announcement
import org.endivestep.egress.FirstHeartbeats
import org.endivestep.egress.HeartbeatFilter
import org.endivestep.egress.WorkerCapacity
import org.endivestep.egress.WorkerHeartbeat
import org.endivestep.egress.WorkerRegistry
import org.endivestep.egress.isHealthAnswer
import org.endivestep.identity.ServiceName
import org.endivestep.settings.Address

private val logger = KotlinLogging.logger {}

/** Handles the heartbeats of the worker of [service] at [address], and [announce]s its state. Thread-safe. */
internal class HeartbeatReceiver(
    private val service: ServiceName,
    private val address: Address,
    private val workers: WorkerRegistry,
    /** Handles an announcement of the worker, which is cold for another `coldMs`. */
    private val announce: (Announcement, coldMs: Long) -> Unit,
) {
    private val heartbeatFilter = HeartbeatFilter(System::currentTimeMillis)
    private val firstHeartbeats = FirstHeartbeats()

    /** Handles [heartbeat]; null stands for one that could not be parsed. Outdated and repeated heartbeats are ignored. */
    @Synchronized
    fun receive(heartbeat: WorkerHeartbeat?) {
        if (heartbeat == null) {
            logger.warn { "ignoring a heartbeat that could not be parsed" }
            return
        }
        if (heartbeat.service != null && heartbeat.service != service) {
            logger.warn { "ignoring a heartbeat of service ${heartbeat.service.text}, expected ${service.text}" }
            return
        }
        // A health answer has no sequence that could be compared with that of a heartbeat that waits for a confirmation.
        val confirmsFirst = workers.worker == null && heartbeat.isHealthAnswer
        if (!confirmsFirst && !heartbeatFilter.isNewer(heartbeat)) return
        val confirmed = if (workers.worker == null) firstHeartbeats.confirm(heartbeat) else heartbeat
        if (confirmed == null) {
            logger.info { "waiting for a confirmation of worker ${heartbeat.incarnation.text}: its first heartbeat may be late" }
            return
        }
        announce(announcement(confirmed), confirmed.coldMs)
    }

    private fun announcement(heartbeat: WorkerHeartbeat): Announcement {
        val known = workers.worker?.announcement
        val slots = if (heartbeat.service == null) known?.capacity?.slots ?: 0 else heartbeat.slots
        val startedMs = if (heartbeat.startedMs == 0L) known?.capacity?.startedMs ?: 0 else heartbeat.startedMs
        val version = heartbeat.version ?: known?.version?.takeIf { known.incarnation == heartbeat.incarnation }
        return Announcement(service, address, heartbeat.incarnation, heartbeat.leaving, WorkerCapacity(slots, startedMs), version)
    }
}
