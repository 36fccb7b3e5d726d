package org.endivestep.ingress

import io.kotest.assertions.withClue
import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.ints.shouldBeInRange
import io.kotest.matchers.shouldBe
import org.endivestep.choice.LoadView
import org.endivestep.exchange.monotonicMs
import org.endivestep.fakes.roundRobin
import org.endivestep.identity.AttemptId
import org.endivestep.outcome.AnswerHead
import org.endivestep.outcome.AttemptResult
import org.endivestep.outcome.NotRunReason
import org.endivestep.outcome.UnknownReason

private fun answered() = AttemptResult.Answered(AnswerHead(200, emptyList()), ByteArray(0).inputStream(), null)

private fun refused() = AttemptResult.NotRun(NotRunReason.WORKER_SHED)

private fun dispatcher(attempt: () -> AttemptResult) =
    Dispatcher({ routesOf(WORKERS) }, LoadView(::monotonicMs), roundRobin()) { _, _ -> attempt() }

private fun firstResult(request: Int, refusedInFour: Int) = if (request % 4 < refusedInFour) refused() else answered()

private const val WORKERS = 5
private const val REQUESTS = 2_000
private const val BUDGET_EXHAUSTED = "retry-budget-exhausted"

class DispatcherRetryBudgetTest :
    FunSpec({
        test("a request that was not retried for want of a budget says so, one that ended for another reason does not") {
            class Case(val name: String, val spentBefore: Boolean, val saysSo: Boolean, val result: () -> AttemptResult)
            listOf(
                Case("refused, budget spent", spentBefore = true, saysSo = true) { refused() },
                Case("unknown, budget spent", spentBefore = true, saysSo = true) { AttemptResult.Unknown(UnknownReason.CONNECTION_LOST) },
                Case("refused by all attempts", spentBefore = false, saysSo = false) { refused() },
                Case("quarantined, budget spent", spentBefore = true, saysSo = false) { AttemptResult.NotRun(NotRunReason.QUARANTINED) },
                Case("answered, budget spent", spentBefore = true, saysSo = false) { answered() },
            ).forEach { case ->
                var result = { AttemptResult.NotRun(NotRunReason.OVERLOADED) as AttemptResult }
                val dispatcher = dispatcher { result() }
                val reserve = sampleCall(true).service.retry.reserve
                if (case.spentBefore) repeat(reserve) { dispatcher.dispatch(sampleCall(true), AttemptId("spends-$it")) }
                result = case.result
                val call = sampleCall(true)
                dispatcher.dispatch(call, AttemptId("last"))
                withClue(case.name) { (BUDGET_EXHAUSTED in call.trace) shouldBe case.saysSo }
            }
        }

        // Guards against calls refused after one refusal of one worker, while the ratio allowed to send them once more.
        test("a service whose workers refuse requests is granted the retries that the ratio allows, and no more") {
            class Case(val name: String, val refusedInFour: Int, val retry: () -> AttemptResult)
            listOf(
                Case("one request in four refused, retries answered", 1, ::answered),
                Case("one request in four refused, retries refused", 1, ::refused),
                Case("three requests in four refused, retries answered", 3, ::answered),
                Case("three requests in four refused, retries refused", 3, ::refused),
                Case("all requests refused, retries answered", 4, ::answered),
                Case("all requests refused, retries refused", 4, ::refused),
            ).forEach { case ->
                val call = sampleCall(true)
                var request = 0
                var isRetry = false
                var retries = 0
                val dispatcher =
                    dispatcher {
                        if (isRetry) retries++
                        val result = if (isRetry) case.retry() else firstResult(request, case.refusedInFour)
                        isRetry = true
                        result
                    }
                repeat(REQUESTS) {
                    request = it
                    isRetry = false
                    dispatcher.dispatch(call, AttemptId("request-$it"))
                }
                val allowed = (call.service.retry.ratio * REQUESTS).toInt()
                withClue("${case.name}, reserve ${call.service.retry.reserve}") {
                    retries shouldBeInRange allowed..allowed + call.service.retry.reserve
                }
            }
        }
    })
