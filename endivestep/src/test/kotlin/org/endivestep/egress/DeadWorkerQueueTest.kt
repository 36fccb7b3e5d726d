package org.endivestep.egress

import io.kotest.assertions.withClue
import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.shouldBe
import org.endivestep.document.LimitSettings
import org.endivestep.fakes.EgressFixture
import org.endivestep.fakes.awaitWaiting
import org.endivestep.fakes.sampleAttempt
import org.endivestep.identity.Fingerprint
import org.endivestep.identity.WorkerRunId
import org.endivestep.outcome.AttemptResult
import org.endivestep.outcome.NotRunReason
import org.endivestep.quarantine.SuspicionEntry
import java.util.concurrent.Callable
import java.util.concurrent.CountDownLatch
import java.util.concurrent.Executors

private const val WAITING = 3
private const val REMAINING_MS = 20_000L
private const val COLD_MS = 60_000L

private val waitingKind = Fingerprint("waiting")

private fun limits(slots: Int) =
    LimitSettings(slots, slots, idleColdAfterMs = 0, latencyTolerance = 1_000.0, queueLength = 50, queueWaitMs = 2_000)

class DeadWorkerQueueTest :
    FunSpec({
        test("a worker's death refuses the requests that wait for it, whatever they wait for") {
            class Case(val name: String, val slots: Int, val runningAfterDeath: Int, val prepare: EgressFixture.() -> Unit = { })
            listOf(
                Case("a slot", slots = 1, runningAfterDeath = 0),
                Case("a slot, while others stay taken", slots = 2, runningAfterDeath = 1),
                Case("the rate of a cold worker", slots = 20, runningAfterDeath = 0) { admission.coldFor(COLD_MS, 1.0) },
                Case("running alone", slots = 20, runningAfterDeath = 1) {
                    crashes.merge(listOf(SuspicionEntry(waitingKind, setOf(WorkerRunId("earlier")), COLD_MS, lone = true)))
                },
            ).forEach { case ->
                val mayFail = CountDownLatch(1)
                val mayEnd = CountDownLatch(1)
                val fixture =
                    EgressFixture { _, request ->
                        (if (request.attemptId.text == "fails") mayFail else mayEnd).await()
                        WorkerResult.Failed("connection reset", timedOut = false)
                    }
                fixture.admission.configure(limits(case.slots))
                val threads = Executors.newCachedThreadPool()
                val run = { id: String, fingerprint: String ->
                    threads.submit(
                        Callable {
                            fixture.egress.run(sampleAttempt(id, fingerprint = fingerprint, remainingMs = REMAINING_MS)) { }
                        },
                    )
                }
                val running = (listOf("fails") + List(case.runningAfterDeath) { "ends-$it" }).map { run(it, "running") }
                while (fixture.inFlight.count < running.size) Thread.sleep(1)
                case.prepare(fixture)
                val waiting = List(WAITING) { run("waits-$it", waitingKind.text) }
                fixture.admission.awaitWaiting(WAITING)
                fixture.workerListens = false
                mayFail.countDown()
                withClue(case.name) {
                    waiting.forEach { (it.get() as AttemptResult.NotRun).reason shouldBe NotRunReason.WORKER_UNREACHABLE }
                    fixture.inFlight.count shouldBe case.runningAfterDeath
                }
                mayEnd.countDown()
                running.forEach { it.get() }
                threads.shutdownNow()
            }
        }
    })
