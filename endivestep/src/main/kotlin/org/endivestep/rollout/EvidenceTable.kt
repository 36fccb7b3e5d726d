package org.endivestep.rollout

import org.endivestep.identity.KindName
import org.endivestep.identity.VmName
import org.endivestep.identity.WorkerVersion

/**
 * Evidence that a decider received for one roll-out, also that of daemons that have ended since. Not thread-safe.
 */
internal class EvidenceTable(private val target: WorkerVersion) {
    private class Snapshot(val atMs: Long, val evidence: Map<EvidenceSource, WorkerEvidence>)

    private val latest = HashMap<EvidenceSource, WorkerEvidence>()
    private val idleReports = HashMap<VmName, Int>()
    private val history = ArrayDeque<Snapshot>()

    /** Adds [evidence]; returns false for a reordered or repeated message. */
    fun add(evidence: WorkerEvidence): Boolean {
        val known = latest[evidence.source]
        if (known != null && evidence.sequence <= known.sequence) return false
        latest[evidence.source] = evidence
        val vm = evidence.source.vm
        if (evidence.inFlight == 0) idleReports.merge(vm, 1, Int::plus) else idleReports.remove(vm)
        return true
    }

    /** Keeps what is known at [nowMs], so that [recent] can be told from what was before. */
    fun keepHistory(nowMs: Long) {
        val last = history.lastOrNull()
        if (last != null && nowMs - last.atMs < HISTORY_STEP_MS) return
        history.addLast(Snapshot(nowMs, HashMap(latest)))
        while (history.size > 1 && nowMs - history[1].atMs >= RECENT_MS) history.removeFirst()
    }

    /** Number of responses, good and bad, of the target version. */
    val targetTotal: Long get() = latest.values.filter { it.source.version == target }.sumOf { it.total }

    /** Number of responses, good and bad, of all versions. */
    val total: Long get() = latest.values.sumOf { it.total }

    /** Number of failures of the target version. */
    val targetFailed: Long get() = latest.values.filter { it.source.version == target }.sumOf { w -> w.routes.values.sumOf { it.failed } }

    /** Whether the daemon at [vm] reported twice in succession that its worker has nothing in flight and that it refuses new requests. */
    fun isIdle(vm: VmName): Boolean = (idleReports[vm] ?: 0) >= IDLE_REPORTS

    /** Routes on which any version was used. */
    val routes: Set<KindName> get() = latest.values.flatMapTo(HashSet()) { it.routes.keys }

    /** Counters of all workers of other versions on [route]. */
    fun old(route: KindName): RouteCounts =
        latest.values
            .filter { it.source.version != target }
            .mapNotNull { it.routes[route] }
            .fold(RouteCounts(), RouteCounts::plus)

    /** Counters of each worker of the target version on [route] since the roll-out began. */
    fun targets(route: KindName): List<RouteCounts> =
        latest.values.filter { it.source.version == target }.mapNotNull { it.routes[route] }

    /** Counters of each worker of the target version on [route] in about the last [RECENT_MS]. */
    fun recent(route: KindName): List<RouteCounts> {
        val before = history.firstOrNull()?.evidence.orEmpty()
        return latest.values
            .filter { it.source.version == target }
            .mapNotNull { now -> now.routes[route]?.let { it - (before[now.source]?.routes?.get(route) ?: RouteCounts()) } }
    }

    /** Counters of all workers of other versions on all routes. */
    fun oldTotal(): RouteCounts = latest.values.filter { it.source.version != target }.fold(RouteCounts()) { sum, evidence ->
        sum +
            evidence.sum()
    }

    /** Counters of each worker of the target version on all routes. */
    fun targetTotals(): List<RouteCounts> = latest.values.filter { it.source.version == target }.map { it.sum() }.filter { it.total > 0 }

    private fun WorkerEvidence.sum(): RouteCounts = routes.values.fold(RouteCounts(), RouteCounts::plus)

    private companion object {
        const val HISTORY_STEP_MS = 250L
        const val RECENT_MS = 2_000L
        const val IDLE_REPORTS = 2
    }
}
