package org.endivestep.admission

import io.kotest.assertions.withClue
import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.shouldBe
import org.endivestep.document.LimitSettings

private const val SLOW_PERCENT = 400
private const val COLD_LIMIT = 2

class WorkerStartTest :
    FunSpec({
        // Guards against a new run of a worker that gets no requests, because the run before it was slow.
        test("a new run of the worker begins without what was learned of the one before it") {
            class Case(val name: String, val event: (AdmissionQueue) -> Unit, val slownessPercent: Int)
            listOf(
                Case("a new run", AdmissionQueue::workerStarted, 0),
                Case("the same run, cold again", AdmissionQueue::makeCold, SLOW_PERCENT),
            ).forEach { case ->
                val queue = AdmissionQueue(LimitSettings(COLD_LIMIT, 20, 0, 1_000.0, 64, 800)) { 0L }
                queue.noteSlowness(SLOW_PERCENT)
                case.event(queue)
                withClue(case.name) {
                    queue.load.slownessPercent shouldBe case.slownessPercent
                    queue.load.limit shouldBe COLD_LIMIT
                }
            }
        }
    })
