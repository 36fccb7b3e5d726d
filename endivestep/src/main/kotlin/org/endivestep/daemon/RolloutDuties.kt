package org.endivestep.daemon

import org.endivestep.concurrent.BackgroundLoop
import org.endivestep.concurrent.MpscQueue
import org.endivestep.egress.Announcement
import org.endivestep.egress.WorkerRegistry
import org.endivestep.exchange.monotonicMs
import org.endivestep.identity.ServiceName
import org.endivestep.identity.WorkerVersion
import org.endivestep.membership.Gossip
import org.endivestep.membership.MemberInfo
import org.endivestep.metrics.DaemonMetrics
import org.endivestep.platform.PlatformSettings
import org.endivestep.platform.RollOutBounds
import org.endivestep.protocol.PeerAuthentication
import org.endivestep.protocol.RolloutDatagrams
import org.endivestep.protocol.v1.RolloutEvidence
import org.endivestep.store.ObjectCollections
import java.net.DatagramSocket
import java.util.random.RandomGenerator

/** The local worker whose evidence counts, and what this daemon knows of it. */
internal class LocalService(val name: ServiceName, val workers: WorkerRegistry)

/** Runs the parts of a daemon that deal with roll-outs: follows them in the store, sends evidence, and decides. */
internal class RolloutDuties(
    bounds: RollOutBounds,
    private val local: LocalService,
    private val versions: VersionControl,
    private val gossip: Gossip,
    store: ObjectCollections,
    random: RandomGenerator,
    socket: DatagramSocket,
    security: PeerAuthentication,
) {
    private val table = versions.table
    private val assignment = DeciderAssignment(gossip::members)
    private val follower: RolloutFollower = RolloutFollower(store, random, table, { deciders.hasDuty() }, ::changed)
    private val deciders: RolloutDeciders =
        RolloutDeciders(gossip.self.vm, bounds, table, assignment, gossip::members, follower::write, follower::refresh, ::monotonicMs)
    private val datagrams: RolloutDatagrams = RolloutDatagrams(socket, security, deciders::receive) { participant.receive(it) }
    private val participant: RolloutParticipant =
        RolloutParticipant(
            local.name,
            gossip::self,
            assignment,
            table,
            versions.gate,
            versions.counters,
            follower::isConnected,
            ::send,
            versions::elapsedMs,
        )
    private val evidenceDue = MpscQueue<Unit>(1)
    private val decisionDue = MpscQueue<Unit>(1)
    private var observed: Announcement? = null

    fun start() {
        follower.start()
        datagrams.start()
        BackgroundLoop.start("roll-out-evidence", ::evidenceStep)
        BackgroundLoop.start("roll-out-decide", ::decisionStep)
    }

    /** Reads the roll-outs again: the store was restored or has returned. */
    fun refresh() = follower.refresh()

    /** Registers the gauges for the roll-out of the local worker's service. */
    fun registerGauges(metrics: DaemonMetrics) {
        metrics.gauge("endivestep.rollouts.running", "Roll-outs that are running") {
            table.services.values.count { it.rollout?.entry?.isFinal == false }
        }
        metrics.gauge(
            "endivestep.rollout.share.percent",
            "Share of the target version in the roll-out of the local service; -1 without one",
        ) {
            table.rollout(local.name)?.entry?.sharePercent ?: -1
        }
    }

    private fun evidenceStep() {
        observeWorker()
        participant.step()
        forgetExcluded()
        evidenceDue.poll(if (participant.hasDuty()) EVIDENCE_INTERVAL_MS else IDLE_MS)
    }

    private fun decisionStep() {
        if (deciders.hasDuty()) deciders.step()
        decisionDue.poll(if (deciders.hasDuty()) DECISION_INTERVAL_MS else IDLE_MS)
    }

    private fun changed() {
        evidenceDue.offer(Unit)
        decisionDue.offer(Unit)
    }

    private fun send(to: MemberInfo, message: RolloutEvidence) {
        if (to.vm == gossip.self.vm) deciders.receive(message)?.let(participant::receive) else datagrams.send(message, to.inner)
    }

    private fun observeWorker() {
        val current = local.workers.worker?.announcement ?: return
        val before = observed
        if (current == before) return
        observed = current
        versions.counters.workerIs(current.version, isNewRun = before == null || !before.isSameRunAs(current))
    }

    private fun forgetExcluded() {
        table.services.filterValues { it.excluded.isNotEmpty() }.keys.forEach { table.forgetExcluded(it, versionsOf(it)) }
    }

    // Members that are thought to be dead count too, because they may come back with the same worker.
    private fun versionsOf(service: ServiceName): Set<WorkerVersion> =
        gossip.members.mapNotNull { it.worker }.filter { it.service == service }.mapNotNullTo(HashSet()) { it.version }

    private companion object {
        const val EVIDENCE_INTERVAL_MS = 250L
        const val DECISION_INTERVAL_MS = 100L
        const val IDLE_MS = 1_000L
    }
}

/**
 * Returns the duties of a daemon with [settings], or null when these set no limits for roll-outs, where there are no [versions].
 * Throws [java.io.IOException] if the port is in use.
 */
internal fun rolloutDuties(
    settings: PlatformSettings,
    workers: WorkerRegistry,
    versions: VersionControl?,
    gossip: Gossip,
    store: ObjectCollections,
    random: RandomGenerator,
    security: PeerAuthentication,
): RolloutDuties? {
    val bounds = settings.bounds.rollOut
    if (bounds == null || versions == null) return null
    val socket = udpSocket(settings.inner, RolloutDatagrams.PORT_OFFSET)
    return RolloutDuties(bounds, LocalService(settings.service, workers), versions, gossip, store, random, socket, security)
}
