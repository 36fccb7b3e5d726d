package org.endivestep.ingress

import io.kotest.assertions.withClue
import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.shouldBe
import org.endivestep.exchange.Deadline
import org.endivestep.identity.TeamName
import org.endivestep.outcome.AnswerHead
import org.endivestep.outcome.AttemptResult
import org.endivestep.outcome.NotRunReason
import org.endivestep.outcome.UnknownReason
import org.endivestep.outcome.status
import org.endivestep.quota.QuotaAdmission
import java.io.InputStream

class WithinQuotaTest :
    FunSpec({
        // Guards against requests that run although they were refused, and against tokens that are lost or used twice.
        test("a request runs only with a token, and gives it back when it did not run") {
            val answered = AttemptResult.Answered(AnswerHead(200, emptyList()), InputStream.nullInputStream(), null)
            class Case(
                val name: String,
                val result: AttemptResult,
                val dispatched: Int,
                val givenBack: Int,
                val retryAfterMs: Long? = null,
                val team: TeamName? = TeamName("team"),
            )
            listOf(
                Case("answered", answered, dispatched = 1, givenBack = 0),
                Case("unknown", AttemptResult.Unknown(UnknownReason.TIMEOUT), dispatched = 1, givenBack = 0),
                Case("not run", AttemptResult.NotRun(NotRunReason.OVERLOADED), dispatched = 1, givenBack = 1),
                Case("refused", answered, dispatched = 0, givenBack = 0, retryAfterMs = 70),
                Case("without a team", AttemptResult.NotRun(NotRunReason.OVERLOADED), dispatched = 1, givenBack = 0, team = null),
            ).forEach { case ->
                var dispatched = 0
                var givenBack = 0
                val gate = { _: TeamName, _: Deadline ->
                    case.retryAfterMs?.let { QuotaAdmission.Refused(it) } ?: QuotaAdmission.Granted { givenBack++ }
                }
                val limited =
                    withinQuota(gate, case.team, Deadline(1_000)) {
                        dispatched++
                        case.result
                    }
                withClue(case.name) {
                    listOf(dispatched, givenBack) shouldBe listOf(case.dispatched, case.givenBack)
                    limited.retryAfterMs shouldBe case.retryAfterMs
                    if (case.retryAfterMs != null) (limited.result as AttemptResult.NotRun).reason shouldBe NotRunReason.QUOTA_EXCEEDED
                }
            }
        }

        test("a request over its team's quota is reported with status 429") {
            NotRunReason.QUOTA_EXCEEDED.status() shouldBe 429
        }
    })
