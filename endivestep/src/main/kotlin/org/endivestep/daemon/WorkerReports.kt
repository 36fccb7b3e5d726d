package org.endivestep.daemon

import io.github.oshai.kotlinlogging.KotlinLogging
import org.endivestep.egress.Announcement
import org.endivestep.egress.HeartbeatOrder
import org.endivestep.egress.WorkerCapacity
import org.endivestep.egress.WorkerHeartbeat
import org.endivestep.egress.WorkerRegistry
import org.endivestep.identity.ServiceName
import org.endivestep.settings.Address

private val logger = KotlinLogging.logger {}

/** Takes in what the worker of [service] at [address] says of itself. Thread-safe. */
internal class WorkerReports(
    private val service: ServiceName,
    private val address: Address,
    private val workers: WorkerRegistry,
    private val supervision: WorkerSupervision,
) {
    private val order = HeartbeatOrder()

    /** Takes in [heartbeat]; null is one that could not be read. What is no news changes nothing. */
    @Synchronized
    fun heard(heartbeat: WorkerHeartbeat?) {
        if (heartbeat == null) {
            logger.warn { "a heartbeat could not be read" }
            return
        }
        if (heartbeat.service != null && heartbeat.service != service) {
            logger.warn { "a heartbeat names service ${heartbeat.service.text} in place of ${service.text}" }
            return
        }
        val news = order.isNews(heartbeat)
        if (!news) return
        val known = workers.worker?.announcement
        val slots = if (heartbeat.service == null) known?.capacity?.slots ?: 0 else heartbeat.slots
        val startedMs = if (heartbeat.startedMs == 0L) known?.capacity?.startedMs ?: 0 else heartbeat.startedMs
        supervision.announce(
            Announcement(service, address, heartbeat.incarnation, heartbeat.leaving, WorkerCapacity(slots, startedMs)),
        )
        supervision.cold(heartbeat.coldMs)
    }
}
