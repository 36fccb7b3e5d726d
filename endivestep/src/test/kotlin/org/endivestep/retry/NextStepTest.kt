package org.endivestep.retry

import io.kotest.assertions.withClue
import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.shouldBe
import org.endivestep.outcome.AnswerHead
import org.endivestep.outcome.AttemptResult
import org.endivestep.outcome.NotRunReason
import org.endivestep.outcome.UnknownReason

private val answered = AttemptResult.Answered(AnswerHead(200, emptyList()), ByteArray(0).inputStream(), null)
private val refused = AttemptResult.NotRun(NotRunReason.OVERLOADED)
private val unknown = AttemptResult.Unknown(UnknownReason.TIMEOUT)
private val facts = RetryFacts(idempotent = false, replayable = true, attempts = 1, maxAttempts = 3, remainingMs = 100)

class NextStepTest :
    FunSpec({
        test("next step after an attempt") {
            data class Case(val name: String, val result: AttemptResult, val facts: RetryFacts, val next: NextStep)
            val retry = NextStep.RETRY_WITHIN_BUDGET
            val finish = NextStep.FINISH
            listOf(
                Case("an answer", answered, facts, finish),
                Case("a refusal of a non-idempotent request", refused, facts, retry),
                Case("a refusal that forbids retries", AttemptResult.NotRun(NotRunReason.WORKER_SHED, final = true), facts, finish),
                Case("a refusal that does not depend on the worker", AttemptResult.NotRun(NotRunReason.QUARANTINED), facts, finish),
                Case("an unknown outcome of a non-idempotent request", unknown, facts, finish),
                Case("an unknown outcome of an idempotent request", unknown, facts.copy(idempotent = true), retry),
                Case("the last attempt", refused, facts.copy(attempts = 3), finish),
                Case("no time left", refused, facts.copy(remainingMs = 0), finish),
                Case("a body that cannot be sent again", refused, facts.copy(replayable = false), finish),
            ).forEach { case -> withClue(case.name) { nextStep(case.result, case.facts) shouldBe case.next } }
        }
    })
