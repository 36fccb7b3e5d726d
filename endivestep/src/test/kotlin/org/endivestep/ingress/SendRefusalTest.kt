package org.endivestep.ingress

import io.kotest.assertions.withClue
import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.shouldBe
import org.endivestep.choice.LoadView
import org.endivestep.exchange.monotonicMs
import org.endivestep.fakes.roundRobin
import org.endivestep.identity.AttemptId
import org.endivestep.outcome.AttemptResult
import org.endivestep.outcome.NotRunReason

private const val WORKERS = 4

class SendRefusalTest :
    FunSpec({
        // Guards against a request that is retried by a key after the proof that the key still holds has expired.
        test("each attempt is sent only if the request may be sent at that time") {
            class Case(val name: String, val sendable: List<Boolean>, val attempts: Int, val reason: NotRunReason)
            listOf(
                Case("always", List(WORKERS) { true }, attempts = WORKERS, NotRunReason.OVERLOADED),
                Case("for two attempts", listOf(true, true, false), attempts = 2, NotRunReason.OVERLOADED),
                Case("never", listOf(false), attempts = 0, NotRunReason.CONFIGURATION_STALE),
            ).forEach { case ->
                val sendable = ArrayDeque(case.sendable)
                var attempts = 0
                val dispatcher =
                    Dispatcher(
                        { routesOf(WORKERS) },
                        LoadView(::monotonicMs),
                        roundRobin(),
                        RerouteSettings(maxReroutes = 3, maxWaitMs = 60),
                        sendRefusal = {
                            NotRunReason.CONFIGURATION_STALE.takeUnless { sendable.removeFirstOrNull() ?: case.sendable.last() }
                        },
                    ) { _, _ ->
                        attempts++
                        AttemptResult.NotRun(NotRunReason.OVERLOADED)
                    }
                val outcome = dispatcher.dispatch(sampleCall(idempotent = false), AttemptId("first"))
                withClue(case.name) {
                    (outcome as? AttemptResult.NotRun)?.reason shouldBe case.reason
                    attempts shouldBe case.attempts
                }
            }
        }
    })
