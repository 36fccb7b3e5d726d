package org.endivestep.daemon

import org.endivestep.identity.ServiceName
import org.endivestep.membership.MemberInfo
import org.endivestep.protocol.toEntry
import org.endivestep.protocol.toWire
import org.endivestep.protocol.v1.RolloutEvidence
import org.endivestep.protocol.v1.RolloutNotice
import org.endivestep.rollout.Confirmation
import org.endivestep.rollout.DEFAULT_ROLLOUT_MS
import org.endivestep.rollout.EvidenceCounters
import org.endivestep.rollout.FULL_SHARE_PERCENT
import org.endivestep.rollout.RolloutEntry
import org.endivestep.rollout.RolloutTable
import org.endivestep.rollout.VersionGate

/** Sends evidence to the decider at a VM. */
internal typealias EvidenceSender = (MemberInfo, RolloutEvidence) -> Unit

/**
 * The part of every daemon in roll-outs: sends the evidence of its worker of [service], and learns from the deciders' notices.
 *
 * A daemon that the store does not answer also asks the deciders of the other services that are being rolled out. Thread-safe.
 */
internal class RolloutParticipant(
    private val service: ServiceName,
    private val self: () -> MemberInfo,
    private val assignment: DeciderAssignment,
    private val table: RolloutTable,
    private val gate: VersionGate,
    private val counters: EvidenceCounters,
    private val isStoreConnected: () -> Boolean,
    private val send: EvidenceSender,
    private val clockMs: () -> Long,
) {
    private class Asked(val sequence: Long, val atMs: Long)

    private val asked = ArrayDeque<Asked>()
    private var sequence = 0L

    /** Whether there is something to send now. */
    fun hasDuty(): Boolean = servicesToAsk().isNotEmpty()

    /** Sends evidence or questions for all services that need it. */
    fun step() {
        val own = table.rollout(service)?.entry?.takeIf { !it.isFinal }
        if (own == null) counters.stop() else counters.begin(own.order.target)
        servicesToAsk().forEach(::ask)
    }

    /** Handles the reply of a decider. */
    fun receive(notice: RolloutNotice) {
        val askedMs = askedAt(notice.sequence) ?: return
        val of = ServiceName(notice.service)
        if (notice.targetVersion.isEmpty()) {
            if (of == service) table.markKnown()
            return
        }
        val order = table.rollout(of)?.entry?.order?.takeIf { it.target.text == notice.targetVersion }
        val told = notice.toEntry(order?.durationMs ?: DEFAULT_ROLLOUT_MS) ?: return
        if (of == service) gate.confirm(Confirmation(told, askedMs))
        table.update(told, fromStore = false)
        if (of == service) table.markKnown()
    }

    private fun servicesToAsk(): Set<ServiceName> {
        val running = table.services.filterValues { it.rollout?.entry?.isFinal == false }.keys
        return when {
            !table.isKnown -> running + service
            isStoreConnected() -> running.filterTo(HashSet()) { it == service }
            else -> running + service
        }
    }

    private fun ask(of: ServiceName) {
        val message = if (of == service) ownEvidence() else question(of)
        assignment.deciders(of).forEach { send(it, message) }
    }

    private fun ownEvidence(): RolloutEvidence {
        val entry = table.rollout(service)?.entry?.takeIf { !it.isFinal } ?: return question(service)
        val counted = counters.read() ?: return question(service)
        val builder = message(service).setTargetVersion(entry.order.target.text).setInFlight(reported(counted.inFlight, entry))
        counted.version?.let { builder.setWorkerVersion(it.text) }
        counted.routes.forEach { (route, counts) -> builder.addRoutes(counts.toWire(route)) }
        return builder.build()
    }

    // While this daemon may still start requests, the worker does not count as idle.
    private fun reported(inFlight: Int, entry: RolloutEntry): Int = if (entry.sharePercent < FULL_SHARE_PERCENT) inFlight + 1 else inFlight

    private fun question(of: ServiceName): RolloutEvidence = message(of).build()

    private fun message(of: ServiceName): RolloutEvidence.Builder {
        val own = self()
        return RolloutEvidence
            .newBuilder()
            .setVm(own.vm.text)
            .setDaemonIncarnation(own.incarnation.text)
            .setSequence(nextSequence())
            .setService(of.text)
    }

    @Synchronized
    private fun nextSequence(): Long {
        asked.addLast(Asked(++sequence, clockMs()))
        while (asked.size > MAX_ASKED) asked.removeFirst()
        return sequence
    }

    @Synchronized
    private fun askedAt(sequence: Long): Long? = asked.firstOrNull { it.sequence == sequence }?.atMs

    private companion object {
        const val MAX_ASKED = 64
    }
}
