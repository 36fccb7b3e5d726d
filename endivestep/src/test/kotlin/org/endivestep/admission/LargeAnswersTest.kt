package org.endivestep.admission

import io.kotest.assertions.withClue
import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.shouldBe
import io.kotest.matchers.types.shouldBeInstanceOf
import org.endivestep.document.LimitSettings
import org.endivestep.exchange.monotonicMs
import org.endivestep.outcome.NotRunReason
import java.util.concurrent.Callable
import java.util.concurrent.Executors

private fun limits(slots: Int) =
    LimitSettings(cold = slots, max = slots, idleColdAfterMs = 0, latencyTolerance = 1_000.0, queueLength = 64, queueWaitMs = 800)

private fun large(maxWaitMs: Long) = AdmissionRequest(maxWaitMs, hasLargeAnswer = true)

private fun small(maxWaitMs: Long) = AdmissionRequest(maxWaitMs)

class LargeAnswersTest :
    FunSpec({
        test("slow readers of large answers take three quarters of the slots, and small requests take the others") {
            class Case(val slots: Int, val largeAdmitted: Int)
            listOf(Case(1, 1), Case(2, 1), Case(4, 3), Case(8, 6), Case(11, 8)).forEach { case ->
                val queue = AdmissionQueue(limits(case.slots), ::monotonicMs)
                val admitted = (1..200).count { queue.admit(large(maxWaitMs = 0)) is Admission.Admitted }
                withClue("${case.slots} slots") {
                    admitted shouldBe case.largeAdmitted
                    repeat(case.slots - case.largeAdmitted) { queue.admit(small(maxWaitMs = 0)).shouldBeInstanceOf<Admission.Admitted>() }
                    queue.admit(small(maxWaitMs = 0)) shouldBe Admission.Refused(NotRunReason.OVERLOADED)
                }
            }
        }

        test("small requests pass large ones that wait for their share, which are admitted when it is free again") {
            val queue = AdmissionQueue(limits(4), ::monotonicMs)
            val threads = Executors.newCachedThreadPool()
            val permits = List(3) { (queue.admit(large(maxWaitMs = 0)) as Admission.Admitted).permit }
            val waiting = threads.submit(Callable { queue.admit(large(maxWaitMs = 700)) })
            val untilMs = monotonicMs() + 500
            while (queue.load.waiting == 0 && monotonicMs() < untilMs) Thread.sleep(1)
            queue.load.waiting shouldBe 1
            val small = queue.admit(small(maxWaitMs = 0)).shouldBeInstanceOf<Admission.Admitted>()
            queue.release(small.permit, Completion.Answered(1.0))
            queue.load.waiting shouldBe 1
            queue.release(permits.first(), Completion.Answered(1.0))
            waiting.get().shouldBeInstanceOf<Admission.Admitted>()
            threads.shutdownNow()
        }
    })
