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
import org.endivestep.outcome.NotRunReason

private const val WORKERS = 4
private const val USUAL_MS = 640.0

class StopTimeTest :
    FunSpec({
        test("during a planned stop a request may be sent while its answer can still be passed on") {
            class Case(val name: String, val lastAnswerMs: Long?, val deadlineMs: Long, val nowMs: Long, val expected: Long)
            listOf(
                Case("no stop", null, 12_000, 0, Long.MAX_VALUE),
                Case("deadline before the end", 5_400, 5_000, 4_900, Long.MAX_VALUE),
                Case("deadline at the end", 5_400, 5_400, 5_390, Long.MAX_VALUE),
                Case("deadline after the end, enough time", 5_400, 12_000, 1_000, 3_760),
                Case("deadline after the end, just too late", 5_400, 12_000, 4_760, 0),
                Case("deadline after the end, much too late", 5_400, 12_000, 5_300, -540),
            ).forEach { case ->
                val stop = StopTime { USUAL_MS }
                case.lastAnswerMs?.let(stop::set)
                withClue(case.name) {
                    stop.sendWindowMs(sampleCall(idempotent = false, case.deadlineMs), case.nowMs) shouldBe case.expected
                }
            }
        }

        // Guards against a request that waits for a worker in a planned stop, is sent late and loses its answer with the process.
        test("a request whose time for sending is over is refused instead of sent once more, and waits no longer than that") {
            class Case(val name: String, val windowsMs: List<Long>, val attempts: Int, val longestWaitMs: Long)
            listOf(
                Case("no stop", List(4) { Long.MAX_VALUE }, attempts = 4, longestWaitMs = Long.MAX_VALUE),
                Case("time for all", listOf(3_000, 2_900, 2_800, 2_700), attempts = 4, longestWaitMs = 2_700),
                Case("time for two", listOf(1_000, 20, 0, 0), attempts = 2, longestWaitMs = 60),
                Case("none left", listOf(-5, -5, -5, -5), attempts = 0, longestWaitMs = 0),
            ).forEach { case ->
                val windows = ArrayDeque(case.windowsMs)
                val waits = mutableListOf<Long>()
                val dispatcher =
                    Dispatcher(
                        { routesOf(WORKERS) },
                        LoadView(::monotonicMs),
                        roundRobin(),
                        RerouteSettings(maxReroutes = 3, maxWaitMs = 60),
                        sendWindowMs = { windows.removeFirstOrNull() ?: case.windowsMs.last() },
                    ) { _, request ->
                        waits += request.maxWaitMs
                        AttemptResult.NotRun(NotRunReason.OVERLOADED)
                    }
                val outcome = dispatcher.dispatch(sampleCall(idempotent = false), AttemptId("first"))
                withClue(case.name) {
                    (outcome is AttemptResult.NotRun) shouldBe true
                    waits.size shouldBe case.attempts
                    (waits.maxOrNull() ?: 0) shouldBe case.longestWaitMs
                }
            }
        }

        test("a request that is answered is not held up by the stop") {
            val dispatcher =
                Dispatcher({ routesOf(WORKERS) }, LoadView(::monotonicMs), roundRobin(), sendWindowMs = { 1 }) { _, _ ->
                    AttemptResult.Answered(AnswerHead(200, emptyList()), ByteArray(0).inputStream(), null)
                }
            (dispatcher.dispatch(sampleCall(idempotent = false), AttemptId("first")) is AttemptResult.Answered) shouldBe true
        }
    })
