package org.endivestep.rollout

import org.endivestep.platform.RollOutBounds
import kotlin.math.max
import kotlin.math.min

/** Stage of a roll-out, by the share of the target version. */
internal enum class RolloutStage { ORDERED, CANARY, LOAD, FULL }

/** What is known in one stage: times in ms since the order was seen and since the stage began. */
internal class StageFacts(
    val elapsedMs: Long,
    val stageAgeMs: Long,
    val evidence: EvidenceTable,
    val fleet: RolloutFleet,
    val verdict: Verdict,
)

/** The next move of a roll-out whose target version has shown nothing bad. */
internal sealed interface PlannedMove {
    data object Stay : PlannedMove

    class Share(val percent: Int, val cause: String) : PlannedMove

    class Complete(val cause: String) : PlannedMove

    class Revert(val cause: String) : PlannedMove
}

/**
 * Times and shares of the stages: a small share, a larger one for a short while under load, then all requests, until the old workers
 * have none left. A stage ends when there is enough evidence, and at the latest when the rest of the time needs it.
 */
internal class RolloutPlan(private val bounds: RollOutBounds, order: RolloutOrder) {
    private val durationMs = order.durationMs

    fun next(sharePercent: Int, facts: StageFacts): PlannedMove {
        val stage = stageOf(sharePercent)
        if (stage != RolloutStage.FULL && isOver(facts) && !hasAnyResponse(facts)) {
            return PlannedMove.Revert("the target version was not tried before the deadline")
        }
        return when (stage) {
            RolloutStage.ORDERED -> toCanary(facts)
            RolloutStage.CANARY -> toLoad(facts)
            RolloutStage.LOAD -> toFull(facts)
            RolloutStage.FULL -> afterFull(facts)
        }
    }

    fun stageOf(sharePercent: Int): RolloutStage =
        when {
            sharePercent >= FULL_SHARE_PERCENT -> RolloutStage.FULL
            sharePercent >= MIN_LOAD_SHARE_PERCENT -> RolloutStage.LOAD
            sharePercent > 0 -> RolloutStage.CANARY
            else -> RolloutStage.ORDERED
        }

    /** Load of a worker of the target version relative to that of an old one before the roll-out. */
    fun loadRatio(sharePercent: Int, fleet: RolloutFleet): Double =
        if (fleet.target.isEmpty()) 1.0 else fleet.old.size.toDouble() / fleet.target.size * sharePercent / FULL_SHARE_PERCENT

    private fun toCanary(facts: StageFacts): PlannedMove {
        val ready = facts.fleet.target.isNotEmpty() && facts.stageAgeMs >= RATE_PERIOD_MS
        return if (ready) PlannedMove.Share(canaryShare(facts), "the first worker of the target version is ready") else PlannedMove.Stay
    }

    // Where few requests arrive, the bound allows a larger share, and a small one would give no evidence.
    private fun canaryShare(facts: StageFacts): Int {
        val expected = ratePerMs(facts) * durationMs * (CANARY_LIMIT - EXPECTED_CANARY_START)
        if (expected <= 0) return MAX_CANARY_PERCENT
        val allowed = (CANARY_BOUND_SHARE * exposureBound(facts) / expected * FULL_SHARE_PERCENT).toInt()
        val startable = (facts.fleet.target.size * COLD_PER_SECOND / MS_PER_SECOND / ratePerMs(facts) * FULL_SHARE_PERCENT).toInt()
        return min(allowed, startable).coerceIn(MIN_CANARY_PERCENT, MAX_CANARY_PERCENT)
    }

    private fun toLoad(facts: StageFacts): PlannedMove {
        val planned = isPast(CANARY_END, facts) && facts.stageAgeMs >= MIN_CANARY_MS
        val ready = planned && hasEnough(facts) && facts.fleet.target.size >= facts.fleet.old.size * LOAD_WORKERS
        return when {
            !hasAnyResponse(facts) -> PlannedMove.Stay
            ready -> PlannedMove.Share(loadShare(facts), "enough good evidence")
            isPast(CANARY_LIMIT, facts) -> forced(loadShare(facts), facts)
            else -> PlannedMove.Stay
        }
    }

    // What the stage under load may add to the exposure, so that most of the bound suffices until its end.
    private fun loadShare(facts: StageFacts): Int {
        val expected = ratePerMs(facts) * durationMs * LOAD_DURATION_SHARE
        if (expected <= 0) return MAX_LOAD_PERCENT
        val left = max(0.0, RAISE_BOUND_SHARE * exposureBound(facts) - facts.evidence.targetTotal)
        return (left / expected * FULL_SHARE_PERCENT).toInt().coerceIn(MIN_LOAD_SHARE_PERCENT, MAX_LOAD_PERCENT)
    }

    private fun toFull(facts: StageFacts): PlannedMove {
        val planned = isPast(LOAD_END, facts) && facts.stageAgeMs >= durationMs * MIN_LOAD_DURATION_SHARE
        val ready = planned && hasEnough(facts) && facts.fleet.target.size >= facts.fleet.old.size * FULL_WORKERS
        val forced = isPast(LOAD_LIMIT, facts) && facts.stageAgeMs >= MIN_FORCED_STAGE_MS
        return when {
            ready -> PlannedMove.Share(FULL_SHARE_PERCENT, "enough good evidence under load")
            forced -> forced(FULL_SHARE_PERCENT, facts)
            else -> PlannedMove.Stay
        }
    }

    // There is no time left to wait for more evidence.
    private fun forced(sharePercent: Int, facts: StageFacts): PlannedMove =
        if (facts.verdict.isLikelyBad) {
            likelyBad(facts)
        } else {
            PlannedMove.Share(sharePercent, "the time left needs it and nothing bad was seen")
        }

    private fun likelyBad(facts: StageFacts) = PlannedMove.Revert("probably faulty, and no time is left: ${facts.verdict.text}")

    private fun afterFull(facts: StageFacts): PlannedMove {
        val idle = facts.fleet.old.all(facts.evidence::isIdle)
        val planned = isPast(COMPLETE_START, facts) && facts.stageAgeMs >= MIN_FULL_MS && !facts.verdict.isSuspicious
        return when {
            facts.fleet.target.isEmpty() -> if (isOver(
                    facts,
                )
            ) {
                PlannedMove.Revert("no worker of the target version is left")
            } else {
                PlannedMove.Stay
            }
            planned && idle && hasEnough(facts) -> PlannedMove.Complete("the old workers have nothing in flight")
            isOver(facts) && facts.verdict.isLikelyBad -> likelyBad(facts)
            isOver(
                facts,
            ) &&
                facts.stageAgeMs >= MIN_FORCED_STAGE_MS -> PlannedMove.Complete("the deadline is near and nothing bad was seen")
            else -> PlannedMove.Stay
        }
    }

    private fun isPast(share: Double, facts: StageFacts) = facts.elapsedMs >= durationMs * share

    private fun isOver(facts: StageFacts) = facts.elapsedMs >= durationMs - COMPLETE_MARGIN_MS

    private fun hasAnyResponse(facts: StageFacts) =
        facts.evidence.targetTotal > 0 || facts.evidence.total == 0L && facts.fleet.target.isNotEmpty()

    // Each route needs ENOUGH_RESPONSES of the target version; a route with little traffic needs a share of its other responses.
    private fun hasEnough(facts: StageFacts): Boolean {
        if (facts.verdict.isSuspicious || !hasAnyResponse(facts)) return false
        return facts.evidence.routes.all { route ->
            val old = facts.evidence.old(route).total
            val target = facts.evidence.targets(route).sumOf { it.total }
            target >= min(ENOUGH_RESPONSES, old / OLD_RESPONSES_PER_TARGET_RESPONSE)
        }
    }

    private fun ratePerMs(facts: StageFacts): Double = facts.evidence.total.toDouble() / max(1, facts.elapsedMs)

    private fun exposureBound(facts: StageFacts): Double = bounds.exposure * ratePerMs(facts) * durationMs + bounds.slack

    private companion object {
        // Time to observe the rate of requests before the first share is set.
        const val RATE_PERIOD_MS = 600L
        const val MS_PER_SECOND = 1_000.0

        const val MIN_CANARY_PERCENT = 5
        const val MAX_CANARY_PERCENT = 19
        const val MIN_LOAD_SHARE_PERCENT = 20
        const val MAX_LOAD_PERCENT = 50

        // Requests a second that a worker of the platform accepts while it is cold; a part of them is left for repeated requests.
        const val COLD_PER_SECOND = 8.0

        // Shares of the order's duration.
        const val EXPECTED_CANARY_START = 0.1
        const val CANARY_END = 0.42
        const val CANARY_LIMIT = 0.58
        const val LOAD_END = 0.55
        const val LOAD_DURATION_SHARE = 0.13
        const val MIN_LOAD_DURATION_SHARE = 0.1
        const val LOAD_LIMIT = 0.7
        const val COMPLETE_START = 0.78

        // Shares of the exposure bound that the first stage, and both stages before all requests move, may use.
        const val CANARY_BOUND_SHARE = 0.25
        const val RAISE_BOUND_SHARE = 0.8

        // Ratio of new to old workers that a stage needs, unless the deadline forces it.
        const val LOAD_WORKERS = 0.5
        const val FULL_WORKERS = 0.8

        const val MIN_CANARY_MS = 1_000L
        const val MIN_FULL_MS = 1_000L

        // Least age of a stage that the deadline ends, so that some of its responses are seen.
        const val MIN_FORCED_STAGE_MS = 400L

        // Includes the time after which a decider of lower rank writes in place of the first.
        const val COMPLETE_MARGIN_MS = 1_400L

        const val ENOUGH_RESPONSES = 20L
        const val OLD_RESPONSES_PER_TARGET_RESPONSE = 20L
    }
}
