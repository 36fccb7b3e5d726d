package org.endivestep.retry

import org.endivestep.outcome.AttemptResult
import org.endivestep.outcome.NotRunReason

/** Facts about a request that decide whether another attempt is allowed. */
internal data class RetryFacts(
    val idempotent: Boolean,
    /** Whether the body can be sent again. */
    val replayable: Boolean,
    val attempts: Int,
    val maxAttempts: Int,
    val remainingMs: Long,
)

/** What follows an attempt. */
internal enum class NextStep {
    /** The result goes to the caller. */
    FINISH,

    /** Another worker may be tried if the retry budget allows it. */
    RETRY_WITHIN_BUDGET,
}

/**
 * Decides what follows [result].
 *
 * A proven not-run may be tried elsewhere whatever the kind. An unknown outcome may only be
 * repeated for an idempotent kind, because the first attempt may still run.
 */
internal fun nextStep(result: AttemptResult, facts: RetryFacts): NextStep {
    val possible = facts.attempts < facts.maxAttempts && facts.remainingMs > 0 && facts.replayable
    if (!possible) return NextStep.FINISH
    return when (result) {
        is AttemptResult.Answered -> NextStep.FINISH
        is AttemptResult.NotRun -> if (result.final || !result.reason.varies()) NextStep.FINISH else NextStep.RETRY_WITHIN_BUDGET
        is AttemptResult.Unknown -> if (facts.idempotent) NextStep.RETRY_WITHIN_BUDGET else NextStep.FINISH
    }
}

// Whether another worker may decide otherwise.
private fun NotRunReason.varies(): Boolean =
    when (this) {
        NotRunReason.QUARANTINED,
        NotRunReason.BAD_REQUEST,
        NotRunReason.DEADLINE_PASSED,
        NotRunReason.UNKNOWN_SERVICE,
        NotRunReason.UNKNOWN_KIND,
        NotRunReason.NO_ROUTE,
        -> false
        else -> true
    }
