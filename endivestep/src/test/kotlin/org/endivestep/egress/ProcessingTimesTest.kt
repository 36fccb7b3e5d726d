package org.endivestep.egress

import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.shouldBe
import io.kotest.matchers.types.shouldBeInstanceOf
import org.endivestep.admission.Admission
import org.endivestep.admission.AdmissionRequest
import org.endivestep.admission.Completion
import org.endivestep.document.LimitSettings
import org.endivestep.exchange.AttemptRequest
import org.endivestep.fakes.EgressFixture
import org.endivestep.fakes.answering
import org.endivestep.fakes.sampleAttempt
import org.endivestep.outcome.AttemptResult
import java.util.concurrent.Callable
import java.util.concurrent.Executors
import java.util.concurrent.atomic.AtomicInteger

private val limits =
    LimitSettings(cold = 2, max = 2, idleColdAfterMs = 0, latencyTolerance = 1_000.0, queueLength = 50, queueWaitMs = 800)

private fun attempt(id: String, remainingMs: Long = 5_000): AttemptRequest = sampleAttempt(id = id, remainingMs = remainingMs)

class ProcessingTimesTest :
    FunSpec({
        test("a short request sent only by other daemons waits in the queue when enough time remains, and is answered") {
            val fixture = EgressFixture(worker = answering())
            fixture.admission.configure(limits)
            repeat(40) { fixture.egress.run(attempt("learned-$it")) { }.shouldBeInstanceOf<AttemptResult.Answered>().body.close() }
            val permits = List(limits.max) { (fixture.admission.admit(AdmissionRequest(0)) as Admission.Admitted).permit }
            val threads = Executors.newCachedThreadPool()
            // Each request takes about 1 ms, so all of them end well before the deadline of the last one.
            val ids = AtomicInteger()
            val run =
                Callable {
                    fixture.egress.run(attempt("waits-${ids.incrementAndGet()}", remainingMs = 90)) {
                    }.also { (it as? AttemptResult.Answered)?.body?.close() }
                }
            val waiting = List(4) { threads.submit(run) }
            Thread.sleep(30)
            permits.forEach { fixture.admission.release(it, Completion.Cancelled) }
            val answered = waiting.count { it.get() is AttemptResult.Answered }
            threads.shutdownNow()
            answered shouldBe 4
        }
    })
