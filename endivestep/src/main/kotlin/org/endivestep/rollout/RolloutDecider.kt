package org.endivestep.rollout

import org.endivestep.identity.VmName
import org.endivestep.platform.RollOutBounds

/** Serving workers of a service by version, as this daemon sees the members. */
internal data class RolloutFleet(val target: Set<VmName>, val old: Set<VmName>)

/** What a decider knows at [nowMs]. [rank] is its place among the deciders of the service, 0 for the first. */
internal class DeciderInput(
    val nowMs: Long,
    val status: RolloutStatus?,
    val evidence: EvidenceTable,
    val fleet: RolloutFleet,
    val rank: Int,
)

/** A status to be written, and the figures that decided it. */
internal data class RolloutStep(val status: RolloutStatus, val cause: String)

/**
 * Decides the steps of one roll-out. A pure state machine; not thread-safe.
 *
 * Several daemons may decide at the same time, because a step takes effect only by a conditional write. A decider of a lower rank takes
 * a step that is still missing after [TAKEOVER_DELAY_MS] for each rank above it.
 */
internal class RolloutDecider(bounds: RollOutBounds, private val order: RolloutOrder, private val firstSeenMs: Long) {
    private val plan = RolloutPlan(bounds, order)
    private var stage: RolloutStatus? = null
    private var stageSinceMs = firstSeenMs
    private var wanted: StepKind? = null
    private var wantedSinceMs = 0L

    // Kept, because the notices of a decider that found a fault end the requests that would confirm it.
    private var fault: String? = null

    /** Whether the evidence showed that the target version is faulty. */
    val isFaulty: Boolean get() = fault != null

    /** Returns the next status to write, or null to leave the status as it is. Called several times a second. */
    fun decide(input: DeciderInput): RolloutStep? {
        input.evidence.keepHistory(input.nowMs)
        noteStage(input)
        val step = nextStep(input)
        val kind = step?.let { StepKind(it.status.state, plan.stageOf(it.status.sharePercent)) }
        if (kind != wanted) {
            wanted = kind
            wantedSinceMs = input.nowMs
        }
        return step?.takeIf { input.nowMs - wantedSinceMs >= input.rank * TAKEOVER_DELAY_MS }
    }

    private fun noteStage(input: DeciderInput) {
        if (input.status == stage) return
        stage = input.status
        stageSinceMs = input.nowMs
    }

    private fun nextStep(input: DeciderInput): RolloutStep? {
        val status = input.status ?: return running(0, "the order was seen")
        if (status.state != RolloutState.RUNNING) return null
        val verdict = judge(input.evidence, plan.loadRatio(status.sharePercent, input.fleet))
        if (verdict.isBad) fault = fault ?: verdict.text
        fault?.let { return reverted("$it; ${figures(input)}") }
        val facts = StageFacts(input.nowMs - firstSeenMs, input.nowMs - stageSinceMs, input.evidence, input.fleet, verdict)
        return when (val move = plan.next(status.sharePercent, facts)) {
            PlannedMove.Stay -> null
            is PlannedMove.Share -> running(move.percent, "${move.cause}; ${figures(input)}")
            is PlannedMove.Complete -> RolloutStep(status(RolloutState.COMPLETE, FULL_SHARE_PERCENT), "${move.cause}; ${figures(input)}")
            is PlannedMove.Revert -> reverted("${move.cause}; ${figures(input)}")
        }
    }

    private fun running(sharePercent: Int, cause: String) = RolloutStep(status(RolloutState.RUNNING, sharePercent), cause)

    private fun reverted(cause: String) = RolloutStep(status(RolloutState.REVERTED, 0), cause)

    private fun status(state: RolloutState, sharePercent: Int) = RolloutStatus(state, order.target, sharePercent)

    private fun figures(input: DeciderInput): String =
        "${input.nowMs - firstSeenMs} of ${order.durationMs} ms, target version ${input.evidence.targetTotal} of ${input.evidence.total} " +
            "responses, ${input.evidence.targetFailed} failed, ${input.fleet.target.size} new and ${input.fleet.old.size} old workers"

    // The exact share depends on the latest figures, and is no reason to wait anew.
    private data class StepKind(val state: RolloutState, val stage: RolloutStage)

    private companion object {
        // Longer than a write to the store and its notice to the other deciders usually take.
        const val TAKEOVER_DELAY_MS = 700L
    }
}

/** Result of comparing the versions on all routes. */
internal class Verdict(val isBad: Boolean, val isLikelyBad: Boolean, val isSuspicious: Boolean, val text: String)

private fun judge(evidence: EvidenceTable, loadRatio: Double): Verdict {
    val totals = evidence.targetTotals()
    val together = failureComparison(totals, evidence.oldTotal())
    if (together == VersionComparison.FAILING) return bad("all routes", together, totals, evidence.oldTotal())
    var worst = together
    var text = ""
    for (route in evidence.routes) {
        val old = evidence.old(route)
        for (targets in listOf(evidence.targets(route), evidence.recent(route))) {
            val result = compareVersions(targets, old, loadRatio)
            if (result == VersionComparison.FAILING ||
                result == VersionComparison.SLOW
            ) {
                return bad("route ${route.text}", result, targets, old)
            }
            if (result > worst) text = describe("route ${route.text}", result, targets, old)
            worst = maxOf(worst, result)
        }
    }
    return Verdict(isBad = false, worst >= VersionComparison.LIKELY_BAD, worst >= VersionComparison.SUSPICIOUS, text)
}

private fun bad(where: String, result: VersionComparison, targets: List<RouteCounts>, old: RouteCounts) =
    Verdict(isBad = true, isLikelyBad = true, isSuspicious = true, describe(where, result, targets, old))

private fun describe(where: String, result: VersionComparison, targets: List<RouteCounts>, old: RouteCounts): String {
    val target = targets.fold(RouteCounts(), RouteCounts::plus)
    return "${result.name.lowercase()} on $where: ${target.failed} of ${target.total} failed against ${old.failed} of ${old.total}, " +
        "mean log time %.2f against %.2f".format(target.meanLogMs, old.meanLogMs)
}
