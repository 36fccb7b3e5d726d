package org.endivestep.protocol

import org.endivestep.identity.DaemonIncarnation
import org.endivestep.identity.KindName
import org.endivestep.identity.ServiceName
import org.endivestep.identity.VmName
import org.endivestep.identity.WorkerVersion
import org.endivestep.protocol.v1.RolloutEvidence
import org.endivestep.protocol.v1.RolloutNotice
import org.endivestep.protocol.v1.RolloutRouteEvidence
import org.endivestep.rollout.EvidenceSource
import org.endivestep.rollout.RolloutEntry
import org.endivestep.rollout.RolloutOrder
import org.endivestep.rollout.RolloutState
import org.endivestep.rollout.RolloutStatus
import org.endivestep.rollout.RouteCounts
import org.endivestep.rollout.WorkerEvidence
import org.endivestep.store.StoreEra
import org.endivestep.store.StoreRevision

private const val MAX_SHARE_PERCENT = 100
private const val NOT_STARTED = "ordered"

internal fun RouteCounts.toWire(route: KindName): RolloutRouteEvidence =
    RolloutRouteEvidence
        .newBuilder()
        .setRoute(route.text)
        .setAnswered(answered)
        .setFailed(failed)
        .setLogMsSum(logMsSum)
        .setLogMsSquareSum(logMsSquareSum)
        .setTimed(timed)
        .build()

/** Returns the evidence, or null when a counter is impossible. */
internal fun RolloutEvidence.toEvidence(): WorkerEvidence? {
    if (routesList.any { !it.isPossible() }) return null
    val version = workerVersion.takeIf { it.isNotEmpty() }?.let(::WorkerVersion)
    val source = EvidenceSource(VmName(vm), DaemonIncarnation(daemonIncarnation), version)
    val routes = routesList.associate {
        KindName(it.route) to RouteCounts(it.answered, it.failed, it.timed, it.logMsSum, it.logMsSquareSum)
    }
    return WorkerEvidence(source, sequence, inFlight, routes)
}

private fun RolloutRouteEvidence.isPossible(): Boolean =
    answered >= 0 && failed >= 0 && timed in 0..answered && logMsSum.isFinite() && logMsSquareSum.isFinite()

/** Returns a notice of this roll-out with [sharePercent], in reply to the evidence with [sequence]. */
internal fun RolloutEntry.toNotice(sequence: Long, sharePercent: Int): RolloutNotice =
    RolloutNotice
        .newBuilder()
        .setSequence(sequence)
        .setService(order.service.text)
        .setTargetVersion(order.target.text)
        .setState(status?.state?.name?.lowercase() ?: NOT_STARTED)
        .setSharePercent(sharePercent)
        .setStoreEra(revision.era.number)
        .setStoreRevision(revision.number)
        .build()

/** Returns the roll-out that the notice states, or null when it states none or its values are impossible. */
internal fun RolloutNotice.toEntry(durationMs: Long): RolloutEntry? {
    if (targetVersion.isEmpty() || sharePercent !in 0..MAX_SHARE_PERCENT) return null
    val target = WorkerVersion(targetVersion)
    val status = RolloutState.entries.firstOrNull { it.name.lowercase() == state }?.let { RolloutStatus(it, target, sharePercent) }
    if (status == null && state != NOT_STARTED) return null
    val order = RolloutOrder(ServiceName(service), target, durationMs)
    return RolloutEntry(order, status, StoreRevision(storeRevision, StoreEra(storeEra)))
}
