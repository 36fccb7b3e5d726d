package org.endivestep.daemon

import io.github.oshai.kotlinlogging.KotlinLogging
import org.endivestep.identity.ServiceName
import org.endivestep.identity.VmName
import org.endivestep.identity.WorkerVersion
import org.endivestep.membership.MemberInfo
import org.endivestep.membership.MemberState
import org.endivestep.platform.RollOutBounds
import org.endivestep.protocol.toEvidence
import org.endivestep.protocol.toNotice
import org.endivestep.protocol.v1.RolloutEvidence
import org.endivestep.protocol.v1.RolloutNotice
import org.endivestep.rollout.DeciderInput
import org.endivestep.rollout.EvidenceTable
import org.endivestep.rollout.KnownRollout
import org.endivestep.rollout.RolloutDecider
import org.endivestep.rollout.RolloutFleet
import org.endivestep.rollout.RolloutStep
import org.endivestep.rollout.RolloutTable

private val logger = KotlinLogging.logger {}

/** Returns the serving workers of [service], by whether they have the version [target]. */
internal fun rolloutFleet(members: Collection<MemberInfo>, service: ServiceName, target: WorkerVersion): RolloutFleet {
    val serving = members.filter { it.worker?.service == service && it.worker.serving }
    val isTarget = { member: MemberInfo -> member.worker?.version == target }
    return RolloutFleet(
        target = serving.filter { isTarget(it) && it.state == MemberState.ALIVE }.mapTo(HashSet()) { it.vm },
        old = serving.filter { !isTarget(it) && it.state in setOf(MemberState.ALIVE, MemberState.SUSPECT) }.mapTo(HashSet()) { it.vm },
    )
}

/** Decides the roll-outs for which this daemon at [self] ranks among the first. Thread-safe. */
internal class RolloutDeciders(
    private val self: VmName,
    private val bounds: RollOutBounds,
    private val table: RolloutTable,
    private val assignment: DeciderAssignment,
    private val members: () -> List<MemberInfo>,
    private val write: StatusWriter,
    private val refresh: () -> Unit,
    private val clockMs: () -> Long,
) {
    private class Active(val rollout: KnownRollout, bounds: RollOutBounds) {
        val evidence = EvidenceTable(rollout.entry.order.target)
        val decider = RolloutDecider(bounds, rollout.entry.order, rollout.firstSeenMs)
        var writeAfterMs = Long.MIN_VALUE
        var conflicts = 0
    }

    private class PendingWrite(val active: Active, val rollout: KnownRollout, val step: RolloutStep)

    private val active = HashMap<ServiceName, Active>()

    /** Adds [message] to the evidence; returns the reply, or null when this daemon knows nothing about the roll-out. */
    @Synchronized
    fun receive(message: RolloutEvidence): RolloutNotice? {
        val service = ServiceName(message.service)
        val rollout = table.rollout(service) ?: return noRollout(message).takeIf { table.isKnown && message.targetVersion.isEmpty() }
        if (message.targetVersion == rollout.entry.order.target.text && !rollout.entry.isFinal) {
            message.toEvidence()?.let { activeOf(rollout).evidence.add(it) }
        }
        val isFaulty = active[service]?.takeIf { it.isFor(rollout) }?.decider?.isFaulty == true
        return rollout.entry.toNotice(message.sequence, if (isFaulty) 0 else rollout.entry.sharePercent)
    }

    /** Whether this daemon decides any roll-out now. */
    fun hasDuty(): Boolean = table.services.any { (service, rules) -> rules.rollout?.entry?.isFinal == false && rankOf(service) >= 0 }

    /** Decides all roll-outs and writes the steps; blocks while the store is called. */
    fun step() {
        val writes = synchronized(this) { decideAll() }
        writes.forEach(::write)
    }

    private fun decideAll(): List<PendingWrite> {
        active.entries.removeIf { (service, known) -> table.rollout(service)?.let { known.isFor(it) && !it.entry.isFinal } != true }
        val running = table.services.values.mapNotNull { it.rollout }.filterNot { it.entry.isFinal }
        return running.mapNotNull(::decide)
    }

    private fun decide(rollout: KnownRollout): PendingWrite? {
        val order = rollout.entry.order
        val rank = rankOf(order.service)
        if (rank < 0) return null
        val known = activeOf(rollout)
        val fleet = rolloutFleet(members(), order.service, order.target)
        val step = known.decider.decide(DeciderInput(clockMs(), rollout.entry.status, known.evidence, fleet, rank)) ?: return null
        return PendingWrite(known, rollout, step).takeIf { clockMs() >= known.writeAfterMs }
    }

    private fun write(pending: PendingWrite) {
        val entry = pending.rollout.entry
        val status = pending.step.status
        val result = write(entry, status)
        logger.info {
            "roll-out of ${entry.order.service.text} to ${entry.order.target.text}: ${status.state.name.lowercase()} with share " +
                "${status.sharePercent}%, because ${pending.step.cause}; write: ${result.name.lowercase()}"
        }
        synchronized(this) { noteResult(pending.active, result) }
    }

    private fun noteResult(known: Active, result: StatusWrite) {
        if (result == StatusWrite.WRITTEN) {
            known.conflicts = 0
            return
        }
        known.writeAfterMs = clockMs() + WRITE_PAUSE_MS
        if (result == StatusWrite.CONFLICT && ++known.conflicts % CONFLICTS_BEFORE_REFRESH == 0) refresh()
    }

    private fun activeOf(rollout: KnownRollout): Active {
        val service = rollout.entry.order.service
        val known = active[service]
        if (known != null && known.isFor(rollout)) return known
        return Active(rollout, bounds).also { active[service] = it }
    }

    private fun Active.isFor(current: KnownRollout): Boolean =
        rollout.entry.order == current.entry.order && rollout.firstSeenMs == current.firstSeenMs

    private fun rankOf(service: ServiceName): Int = assignment.deciders(service).indexOfFirst { it.vm == self }

    private fun noRollout(message: RolloutEvidence): RolloutNotice =
        RolloutNotice
            .newBuilder()
            .setSequence(message.sequence)
            .setService(message.service)
            .build()

    private companion object {
        const val WRITE_PAUSE_MS = 200L

        // The watch usually brings what another daemon wrote, so a single conflict needs no further call.
        const val CONFLICTS_BEFORE_REFRESH = 2
    }
}
