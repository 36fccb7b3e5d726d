package org.endivestep.egress

import io.kotest.assertions.withClue
import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.shouldBe
import io.kotest.matchers.types.shouldBeInstanceOf
import org.endivestep.admission.Admission
import org.endivestep.admission.AdmissionRequest
import org.endivestep.admission.Completion
import org.endivestep.document.LimitSettings
import org.endivestep.fakes.EgressFixture
import org.endivestep.fakes.answering
import org.endivestep.fakes.awaitWaiting
import org.endivestep.fakes.sampleAttempt
import org.endivestep.identity.Fingerprint
import org.endivestep.identity.WorkerRunId
import org.endivestep.outcome.AttemptResult
import org.endivestep.quarantine.SuspicionEntry
import java.util.concurrent.Callable
import java.util.concurrent.CountDownLatch
import java.util.concurrent.Executors

private const val SLOTS = 4
private const val QUEUE_WAIT_MS = 30_000L
private const val REMAINING_MS = 60_000L
private const val SUSPECT_FOR_MS = 60_000L

private val limits =
    LimitSettings(SLOTS, SLOTS, idleColdAfterMs = 0, latencyTolerance = 1_000.0, queueLength = SLOTS, queueWaitMs = QUEUE_WAIT_MS)
private val copied = Fingerprint("copied")

private fun EgressFixture.suspect(worker: String) =
    crashes.merge(listOf(SuspicionEntry(copied, setOf(WorkerRunId(worker)), SUSPECT_FOR_MS, lone = true)))

private fun EgressFixture.clear() = synchronized(quarantine) { quarantine.answered(copied) }

class WaitingSuspectsTest :
    FunSpec({
        test("whether waiting requests run alone is decided when a slot is free, not when they arrive") {
            class Case(
                val name: String,
                val onArrival: EgressFixture.() -> Unit,
                val whileWaiting: EgressFixture.() -> Unit,
                val together: Int,
            )
            listOf(
                Case("never suspects", { }, { }, SLOTS),
                Case("suspects all the time", { suspect("died") }, { }, 1),
                Case("suspects until a copy was answered", { suspect("died") }, { clear() }, SLOTS),
                Case("suspects only since they wait", { }, { suspect("died") }, 1),
            ).forEach { case ->
                val mayAnswer = CountDownLatch(1)
                val answer = answering()
                val fixture =
                    EgressFixture { worker, request ->
                        mayAnswer.await()
                        answer(worker, request)
                    }
                fixture.admission.configure(limits)
                val threads = Executors.newCachedThreadPool()
                val permits = List(SLOTS) { (fixture.admission.admit(AdmissionRequest(0)) as Admission.Admitted).permit }
                case.onArrival(fixture)
                val requests = List(SLOTS) { sampleAttempt("copy-$it", fingerprint = copied.text, remainingMs = REMAINING_MS) }
                val results = requests.map {
                    threads.submit(
                        Callable {
                            fixture.egress.run(it) { }.also { result -> (result as? AttemptResult.Answered)?.body?.close() }
                        },
                    )
                }
                fixture.admission.awaitWaiting(SLOTS)
                case.whileWaiting(fixture)
                permits.forEach { fixture.admission.release(it, Completion.Cancelled) }
                withClue(case.name) { fixture.admission.load.inFlight shouldBe case.together }
                mayAnswer.countDown()
                results.forEach { it.get().shouldBeInstanceOf<AttemptResult.Answered>() }
                threads.shutdownNow()
            }
        }
    })
