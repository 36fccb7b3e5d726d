package org.endivestep.daemon

import io.github.oshai.kotlinlogging.KotlinLogging
import org.endivestep.admission.AdmissionQueue
import org.endivestep.admission.ColdPeriod
import org.endivestep.document.Document
import org.endivestep.document.LimitSettings
import org.endivestep.egress.Announcement
import org.endivestep.egress.AnnouncementEffect
import org.endivestep.egress.LocalWorker
import org.endivestep.egress.WorkerCapacity
import org.endivestep.egress.WorkerPhase
import org.endivestep.exchange.monotonicMs
import org.endivestep.membership.Gossip
import org.endivestep.membership.WorkerInfo
import org.endivestep.quarantine.SuspicionEntry

private val logger = KotlinLogging.logger {}

/** Tracks the lifecycle of the local worker and notifies peers of changes. */
internal class WorkerSupervisor(
    parts: WorkerParts,
    private val gossip: Gossip,
    private val document: () -> Document?,
    /** Time in ms for which a heartbeat tells whether the worker is cold. */
    heartbeatValidMs: Long = AdmissionQueue.ALWAYS_VALID_MS,
) {
    private val workers = parts.workers
    private val admission = parts.admission
    private val crashes = parts.crashes
    private val inFlight = parts.inFlight
    private val coldPeriod = ColdPeriod(admission, heartbeatValidMs, ::monotonicMs)

    /** Applies the limits that [document] gives the worker's service; to be called before requests are served by it. */
    fun configure(document: Document) {
        coldPeriod.configure(document)
        val service = workers.worker?.announcement?.service ?: return
        val capacity = workers.worker?.announcement?.capacity
        document.services[service]?.let { admission.configure(it.limits.within(capacity)) }
    }

    /** Treats the worker as cold until it reports otherwise, because its data centre was out of service until now. */
    fun assumeCold() {
        val service = workers.worker?.announcement?.service ?: return
        logger.info { "treating the worker as cold until its next heartbeat: its data centre returns to service" }
        coldPeriod.assumeCold(service)
    }

    /** Handles an announcement of the worker, which is cold for another [coldMs]. */
    fun announce(announcement: Announcement, coldMs: Long) {
        // Known before the worker is published, so that no request meets a cold worker without its rate limit.
        coldPeriod.report(announcement.service, coldMs)
        announce(announcement)
    }

    /** Handles an announcement of the worker; returns the number of its requests in flight. */
    fun announce(announcement: Announcement): Int {
        when (val effect = workers.announce(announcement)) {
            is AnnouncementEffect.Started -> workerStarted(effect.worker)
            is AnnouncementEffect.Replaced -> {
                crashes.workerReplaced(effect.died)
                workerStarted(effect.worker)
            }
            is AnnouncementEffect.Leaving -> {
                logger.info { "worker ${effect.worker.announcement.incarnation.text} is leaving" }
                publishWorker(effect.worker)
            }
            AnnouncementEffect.Unchanged -> Unit
        }
        return inFlight.count
    }

    // Requests take longer on a worker that is nearly full, so some slots are left free.
    private fun LimitSettings.within(capacity: WorkerCapacity?): LimitSettings {
        if (capacity == null) return this
        val usable = (capacity.slots * USABLE_SHARE).toInt().coerceAtLeast(1)
        return copy(cold = usable, max = usable)
    }

    private fun workerStarted(worker: LocalWorker) {
        logger.info { "worker ${worker.announcement.incarnation.text} of ${worker.announcement.service.text} started" }
        document()?.let(::configure)
        admission.workerStarted()
        publishWorker(worker)
    }

    private fun publishWorker(worker: LocalWorker) {
        val announcement = worker.announcement
        val serving = worker.phase == WorkerPhase.SERVING
        val info = WorkerInfo(announcement.service, announcement.incarnation, serving, announcement.version)
        gossip.updateSelf { it.copy(worker = info) }
    }

    /** Notifies peers that the worker died and of the requests that are suspected of crashing it, and refuses those that wait for it. */
    fun workerDied(entries: List<SuspicionEntry>) {
        workers.worker?.let(::publishWorker)
        gossip.pushUpdate(entries)
        admission.refuseUnrunnable()
    }

    /** Merges the suspicions of other daemons, and refuses the waiting requests that are quarantined by them. */
    fun suspicionsReceived(entries: List<SuspicionEntry>) {
        val unknownToSender = crashes.merge(entries)
        if (unknownToSender.isNotEmpty()) gossip.pushUpdate(unknownToSender)
        admission.refuseUnrunnable()
    }

    private companion object {
        const val USABLE_SHARE = 0.8
    }
}
