package org.endivestep.egress

import io.kotest.assertions.withClue
import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.shouldBe
import io.kotest.matchers.types.shouldBeInstanceOf
import org.endivestep.admission.Admission
import org.endivestep.admission.AdmissionLimit
import org.endivestep.admission.AdmissionRequest
import org.endivestep.admission.Completion
import org.endivestep.document.LimitSettings
import org.endivestep.exchange.AttemptRequest
import org.endivestep.fakes.EgressFixture
import org.endivestep.fakes.answering
import org.endivestep.fakes.awaitWaiting
import org.endivestep.fakes.sampleAttempt
import org.endivestep.outcome.AttemptResult
import java.util.concurrent.Callable
import java.util.concurrent.Executors
import java.util.concurrent.atomic.AtomicLong

private const val WORK_MS = 1L
private const val REMAINING_MS = 90L
private const val WAITING = 4
private const val LEARNED = 40

/** Longer than any of the requests may wait, so that each of them reads the clock again. */
private const val CLOCK_READ_MS = 2 * REMAINING_MS
private const val NANOS_PER_MS = 1_000_000L

private val limits =
    LimitSettings(cold = 2, max = 2, idleColdAfterMs = 0, latencyTolerance = 1_000.0, queueLength = 50, queueWaitMs = 800)

/** An [EgressFixture] whose time passes only by [advance] and by the [WORK_MS] of each request at the worker. */
private class TimedFixture {
    private val clockMs = AtomicLong()
    private val answer = answering()
    private val fixture =
        EgressFixture(clockNanos = { clockMs.get() * NANOS_PER_MS }) { worker, request ->
            advance(WORK_MS)
            answer(worker, request)
        }
    private val permits: List<AdmissionLimit.Permit>

    init {
        fixture.admission.configure(limits)
        repeat(LEARNED) { run(attempt("learned-$it", REMAINING_MS)).shouldBeInstanceOf<AttemptResult.Answered>() }
        permits = List(limits.max) { (fixture.admission.admit(AdmissionRequest(0)) as Admission.Admitted).permit }
    }

    fun attempt(id: String, remainingMs: Long): AttemptRequest = sampleAttempt(id = id, remainingMs = remainingMs, nowMs = clockMs.get())

    fun run(request: AttemptRequest): AttemptResult = fixture.egress.run(request) {
    }.also { (it as? AttemptResult.Answered)?.body?.close() }

    fun awaitWaiting(count: Int) = fixture.admission.awaitWaiting(count)

    fun advance(ms: Long) {
        clockMs.addAndGet(ms)
    }

    fun freeSlots() = permits.forEach { fixture.admission.release(it, Completion.Cancelled) }
}

class ProcessingTimesTest :
    FunSpec({
        test("a short request sent only by other daemons waits in the queue when enough time remains, and is answered") {
            class Case(val name: String, val waitMs: Long, val answered: Int)
            listOf(
                Case("a third of the time", waitMs = 30, answered = WAITING),
                Case("longer than a request of unknown processing time may wait", waitMs = 60, answered = WAITING),
                Case("all but the time to run the requests", waitMs = REMAINING_MS - WAITING * WORK_MS - 1, answered = WAITING),
                Case("all of the time", waitMs = REMAINING_MS, answered = 0),
            ).forEach { case ->
                val fixture = TimedFixture()
                val threads = Executors.newCachedThreadPool()
                val requests = List(WAITING) { fixture.attempt("waits-$it", REMAINING_MS) }
                val results = requests.map { threads.submit(Callable { fixture.run(it) }) }
                fixture.awaitWaiting(WAITING)
                fixture.advance(case.waitMs)
                Thread.sleep(CLOCK_READ_MS)
                fixture.freeSlots()
                withClue(case.name) { results.count { it.get() is AttemptResult.Answered } shouldBe case.answered }
                threads.shutdownNow()
            }
        }
    })
