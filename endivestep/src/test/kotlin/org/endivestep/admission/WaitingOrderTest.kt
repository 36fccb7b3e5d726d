package org.endivestep.admission

import io.kotest.assertions.withClue
import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.shouldBe
import org.endivestep.document.LimitSettings
import org.endivestep.exchange.RequestRank
import org.endivestep.outcome.NotRunReason

private val settings =
    LimitSettings(cold = 2, max = 2, idleColdAfterMs = 0, latencyTolerance = 100.0, queueLength = 50, queueWaitMs = 5_000)

private fun place(
    priority: Int = 1,
    late: Boolean = false,
    nested: Boolean = false,
    repeated: Boolean = false,
    objectiveAtMs: Long = 500,
) = WaitingPlace(RequestRank(priority, objectiveAtMs, nested, repeated), late)

class WaitingOrderTest :
    FunSpec({
        test("who waits goes in the order of what a refusal would waste") {
            class Case(val name: String, val first: WaitingPlace, val second: WaitingPlace)
            listOf(
                Case("a call of a worker before a higher priority", place(priority = 2, nested = true), place(priority = 0)),
                Case("a higher priority before one that is in time", place(priority = 0, late = true), place(priority = 1)),
                Case("in time before late", place(), place(late = true)),
                Case("a short objective before a long one", place(objectiveAtMs = 150), place(objectiveAtMs = 600)),
                Case("refused before, before a first try", place(repeated = true), place()),
            ).forEach { case ->
                withClue(case.name) {
                    (waitingOrder.compare(case.first, case.second) < 0) shouldBe true
                    (waitingOrder.compare(case.second, case.first) > 0) shouldBe true
                }
            }
        }

        test("a short clump of requests: what would wait longer than it can is refused at once, not held") {
            class Case(val name: String, val patienceMs: Long, val workMs: Double, val refused: Boolean)
            listOf(
                Case("a queue that is short enough", 500, 100.0, false),
                Case("one that is too long", 20, 100.0, true),
                Case("work that is not known", 20, 0.0, false),
            ).forEach { case ->
                val queue = AdmissionQueue(settings) { 1_000 }
                repeat(2) { (queue.admit(AdmissionRequest(0)) is Admission.Admitted) shouldBe true }
                val waiting =
                    java.util.concurrent.CompletableFuture.supplyAsync {
                        queue.admit(AdmissionRequest(case.patienceMs, workMs = case.workMs))
                    }
                Thread.sleep(100)
                withClue(case.name) { waiting.isDone shouldBe case.refused }
                if (case.refused) waiting.get() shouldBe Admission.Refused(NotRunReason.OVERLOADED)
                queue.close(NotRunReason.LEAVING)
                waiting.get()
            }
        }
    })
