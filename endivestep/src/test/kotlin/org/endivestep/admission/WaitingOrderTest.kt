package org.endivestep.admission

import io.kotest.assertions.withClue
import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.shouldBe
import org.endivestep.document.LimitSettings
import org.endivestep.exchange.RequestRank
import org.endivestep.outcome.NotRunReason

private val settings =
    LimitSettings(cold = 2, max = 2, idleColdAfterMs = 0, latencyTolerance = 100.0, queueLength = 50, queueWaitMs = 5_000)

private fun sortKey(
    priority: Int = 1,
    late: Boolean = false,
    nested: Boolean = false,
    repeated: Boolean = false,
    objectiveAtMs: Long = 500,
) = WaitingSortKey(RequestRank(priority, objectiveAtMs, nested, repeated), late)

class WaitingOrderTest :
    FunSpec({
        test("waiting requests are ordered by nesting, priority, lateness, earlier refusal and objective") {
            class Case(val name: String, val first: WaitingSortKey, val second: WaitingSortKey)
            listOf(
                Case("a nested call of a worker before a higher priority", sortKey(priority = 2, nested = true), sortKey(priority = 0)),
                Case("a late request of higher priority before one in time", sortKey(priority = 0, late = true), sortKey(priority = 1)),
                Case("in time before late", sortKey(), sortKey(late = true)),
                Case("a short objective before a long one", sortKey(objectiveAtMs = 150), sortKey(objectiveAtMs = 600)),
                Case("a previously refused request before a first attempt", sortKey(repeated = true), sortKey()),
            ).forEach { case ->
                withClue(case.name) {
                    (waitingOrder.compare(case.first, case.second) < 0) shouldBe true
                    (waitingOrder.compare(case.second, case.first) > 0) shouldBe true
                }
            }
        }

        test("in a short burst, a request whose expected wait is too long is refused at once") {
            class Case(val name: String, val maxWaitMs: Long, val workMs: Double, val refused: Boolean)
            listOf(
                Case("a queue that is short enough", 500, 100.0, false),
                Case("a queue that is too long", 20, 100.0, true),
                Case("unknown processing time", 20, 0.0, false),
            ).forEach { case ->
                val queue = AdmissionQueue(settings) { 1_000 }
                repeat(2) { (queue.admit(AdmissionRequest(0)) is Admission.Admitted) shouldBe true }
                val waiting =
                    java.util.concurrent.CompletableFuture.supplyAsync {
                        queue.admit(AdmissionRequest(case.maxWaitMs, workMs = case.workMs))
                    }
                Thread.sleep(100)
                withClue(case.name) { waiting.isDone shouldBe case.refused }
                if (case.refused) waiting.get() shouldBe Admission.Refused(NotRunReason.OVERLOADED)
                queue.close(NotRunReason.LEAVING)
                waiting.get()
            }
        }
    })
