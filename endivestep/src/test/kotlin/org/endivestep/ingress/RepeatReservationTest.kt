package org.endivestep.ingress

import io.kotest.assertions.withClue
import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.shouldBe
import org.endivestep.choice.LoadView
import org.endivestep.exchange.monotonicMs
import org.endivestep.fakes.roundRobin
import org.endivestep.identity.AttemptId
import org.endivestep.outcome.AnswerHead
import org.endivestep.outcome.AttemptResult
import org.endivestep.outcome.UnknownReason

private fun answered() = AttemptResult.Answered(AnswerHead(200, emptyList()), ByteArray(0).inputStream(), null)

class RepeatReservationTest :
    FunSpec({
        // Guards against an attempt that is given up for another one, which then can't follow (issue 57).
        test("another attempt is reserved only if it can follow, and then it does") {
            class Case(
                val name: String,
                val reserved: Boolean,
                val workers: Int = 2,
                val idempotent: Boolean = true,
                val spentBefore: Boolean = false,
                /** Whether the daemon stops during the attempt. */
                val stops: Boolean = false,
            )
            listOf(
                Case("another worker", reserved = true),
                Case("no other worker", reserved = false, workers = 1),
                Case("a request that must not be repeated", reserved = false, idempotent = false),
                Case("a spent retry budget", reserved = false, spentBefore = true),
                Case("a daemon that stops", reserved = false, stops = true),
            ).forEach { case ->
                var attempts = 0
                var isStopping = false
                var isSpending = case.spentBefore
                var reserved: Boolean? = null
                val dispatcher =
                    Dispatcher(
                        { routesOf(case.workers) },
                        LoadView(::monotonicMs),
                        roundRobin(),
                        sendWindowMs = { if (isStopping) 0 else Long.MAX_VALUE },
                    ) { _, request ->
                        attempts++
                        if (isSpending) return@Dispatcher AttemptResult.Unknown(UnknownReason.CONNECTION_LOST)
                        if (reserved != null) return@Dispatcher answered()
                        isStopping = case.stops
                        reserved = request.reserveRepeat()
                        if (reserved == true) AttemptResult.Unknown(UnknownReason.NO_RESPONSE) else answered()
                    }
                if (case.spentBefore) {
                    repeat(sampleCall(true).service.retry.reserve) {
                        dispatcher.dispatch(sampleCall(true), AttemptId("$it"))
                    }
                }
                isSpending = false
                attempts = 0
                val result = dispatcher.dispatch(sampleCall(case.idempotent), AttemptId("first"))
                withClue(case.name) {
                    reserved shouldBe case.reserved
                    (result is AttemptResult.Answered) shouldBe true
                    attempts shouldBe if (case.reserved) 2 else 1
                }
            }
        }
    })
