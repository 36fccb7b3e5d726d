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

/** Next step after an attempt. */
internal enum class NextStep {
    /** Return the result to the caller. */
    FINISH,

    /** Try another worker if the retry budget allows it. */
    RETRY_WITHIN_BUDGET,
}

/**
 * Decides whether to retry after [result].
 *
 * A request that was proved not to have run may be retried on another worker, whatever its kind. After
 * an unknown outcome, only an idempotent kind may be retried, because the first attempt may still run.
 */
internal fun nextStep(result: AttemptResult, facts: RetryFacts): NextStep {
    val possible = facts.attempts < facts.maxAttempts && facts.remainingMs > 0 && facts.replayable
    if (!possible) return NextStep.FINISH
    return when (result) {
        is AttemptResult.Answered -> NextStep.FINISH
        is AttemptResult.NotRun -> if (result.final || !result.reason.dependsOnWorker()) NextStep.FINISH else NextStep.RETRY_WITHIN_BUDGET
        is AttemptResult.Unknown -> if (facts.idempotent) NextStep.RETRY_WITHIN_BUDGET else NextStep.FINISH
    }
}

// Whether the refusal depends on the worker, so that another worker may accept the request.
private fun NotRunReason.dependsOnWorker(): Boolean =
    when (this) {
        NotRunReason.QUARANTINED,
        NotRunReason.BAD_REQUEST,
        NotRunReason.DEADLINE_PASSED,
        NotRunReason.UNKNOWN_SERVICE,
        NotRunReason.UNKNOWN_KIND,
        NotRunReason.NO_ROUTE,
        NotRunReason.UNAUTHORIZED,
        NotRunReason.CONFIGURATION_STALE,
        NotRunReason.QUOTA_EXCEEDED,
        -> false
        else -> true
    }
