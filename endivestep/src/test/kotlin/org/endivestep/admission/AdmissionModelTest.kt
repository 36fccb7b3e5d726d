package org.endivestep.admission

import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.ints.shouldBeInRange
import io.kotest.matchers.ints.shouldBeLessThanOrEqual
import io.kotest.matchers.shouldBe
import io.kotest.property.Arb
import io.kotest.property.arbitrary.bind
import io.kotest.property.arbitrary.double
import io.kotest.property.arbitrary.enum
import io.kotest.property.arbitrary.int
import io.kotest.property.arbitrary.list
import io.kotest.property.checkAll
import org.endivestep.document.LimitSettings
import org.endivestep.fakes.fuzz
import org.endivestep.outcome.NotRunReason

private enum class Step { ACQUIRE, ANSWER, SHED, FAIL, CANCEL, COLD, IDLE }

private data class Action(val step: Step, val repeat: Int, val latencyMs: Double)

private val settings =
    LimitSettings(cold = 3, max = 20, idleColdAfterMs = 10_000, latencyTolerance = 3.0, queueLength = 4, queueWaitMs = 50)

private class AdmissionModel {
    private val limit = AdmissionLimit(settings)
    private val permits = ArrayDeque<AdmissionLimit.Permit>()
    private var nowMs = 1L
    private var answersSinceCold = 0

    fun apply(action: Action) = repeat(action.repeat) { applyOnce(action) }

    private fun applyOnce(action: Action) {
        nowMs++
        when (action.step) {
            Step.ACQUIRE -> acquire()
            Step.ANSWER -> release(Completion.Answered(action.latencyMs))
            Step.SHED -> release(Completion.Shed)
            Step.FAIL -> release(Completion.Failed)
            Step.CANCEL -> release(Completion.Cancelled)
            Step.COLD -> {
                limit.makeCold()
                answersSinceCold = 0
            }
            Step.IDLE -> if (permits.isEmpty()) nowMs += settings.idleColdAfterMs + 1
        }
        limit.load.limit shouldBeInRange settings.cold..settings.max
        limit.load.inFlight shouldBe permits.size
    }

    private fun acquire() {
        val before = limit.load.limit
        val permit = limit.tryAcquire(nowMs) ?: return
        permits.addLast(permit)
        permits.size shouldBeLessThanOrEqual before
        // Until its first answer after turning cold, a worker has at most the cold limit in flight.
        if (answersSinceCold == 0) permits.size shouldBeLessThanOrEqual maxOf(settings.cold, before)
    }

    private fun release(completion: Completion) {
        val permit = permits.removeFirstOrNull() ?: return
        if (completion is Completion.Answered) answersSinceCold++
        limit.release(permit, completion, nowMs)
    }
}

private val actions: Arb<Action> = Arb.bind(Arb.enum<Step>(), Arb.int(1..10), Arb.double(0.1, 50.0), ::Action)

class AdmissionModelTest :
    FunSpec({
        test("requests in flight never exceed the limit at the time of admission") {
            checkAll(fuzz(), Arb.list(actions, 1..80)) { sequence ->
                val model = AdmissionModel()
                sequence.forEach(model::apply)
            }
        }

        test("a cold worker starts at the cold limit and warms up on good answers") {
            val limit = AdmissionLimit(settings)
            limit.load.limit shouldBe settings.cold
            repeat(40) { round ->
                val permits = generateSequence { limit.tryAcquire(round + 1L) }.toList()
                permits.forEach { limit.release(it, Completion.Answered(5.0), round + 1L) }
            }
            limit.load.limit shouldBe settings.max
        }

        test("the limit of a warm worker drops to the cold limit after a few bad results") {
            data class Case(val name: String, val bad: Completion)
            listOf(
                Case("fails", Completion.Failed),
                Case("slows down", Completion.Answered(200.0)),
                Case("sheds", Completion.Shed),
            ).forEach { case ->
                val limit = warmLimit()
                repeat(8) {
                    val permits = generateSequence { limit.tryAcquire(1_000L + it) }.toList()
                    permits.forEach { permit -> limit.release(permit, case.bad, 1_000L + it) }
                }
                io.kotest.assertions.withClue(case.name) { limit.load.limit shouldBe settings.cold }
            }
        }

        test("the limit of a worker that warms up slowly reaches its maximum after a few collapses") {
            val limit = AdmissionLimit(settings)
            var answered = 0
            var collapses = 0
            repeat(3_000) { round ->
                val permits = generateSequence { limit.tryAcquire(round + 1L) }.toList()
                // The worker's capacity grows by one request per 25 answers and resets after a collapse.
                val collapsed = permits.size > settings.cold + answered / 25
                if (collapsed) collapses++
                answered = if (collapsed) 0 else answered + permits.size
                permits.forEach { limit.release(it, if (collapsed) Completion.Failed else Completion.Answered(5.0), round + 1L) }
            }
            limit.load.limit shouldBe settings.max
            collapses shouldBeLessThanOrEqual 5
        }

        test("a worker turns cold after being idle") {
            val limit = warmLimit()
            limit.tryAcquire(1_000_000L)
            limit.load.limit shouldBe settings.cold
        }

        test("a suspect request runs with no other in flight") {
            val queue = AdmissionQueue(settings.copy(queueWaitMs = 0), { 0L })
            val shared = queue.admit(AdmissionRequest(0)) as Admission.Admitted
            queue.admit(AdmissionRequest(0, { Occupancy.ALONE })) shouldBe Admission.Refused(NotRunReason.OVERLOADED)
            queue.release(shared.permit, Completion.Answered(1.0))
            (queue.admit(AdmissionRequest(0, { Occupancy.ALONE })) is Admission.Admitted) shouldBe true
            queue.admit(AdmissionRequest(0)) shouldBe Admission.Refused(NotRunReason.OVERLOADED)
        }

        test("closing the queue refuses waiting and new requests") {
            val queue = AdmissionQueue(settings, System::currentTimeMillis)
            repeat(settings.cold) { queue.admit(AdmissionRequest(0)) }
            val waiting = java.util.concurrent.CompletableFuture.supplyAsync { queue.admit(AdmissionRequest(5_000)) }
            Thread.sleep(5)
            queue.close(NotRunReason.LEAVING)
            waiting.get().let { it as Admission.Refused }
            queue.admit(AdmissionRequest(0)) shouldBe Admission.Refused(NotRunReason.LEAVING)
        }
    })

private fun warmLimit(): AdmissionLimit {
    val limit = AdmissionLimit(settings)
    repeat(60) { round ->
        val permits = generateSequence { limit.tryAcquire(round + 1L) }.toList()
        permits.forEach { limit.release(it, Completion.Answered(5.0), round + 1L) }
    }
    return limit
}
