package org.endivestep.egress

import io.kotest.assertions.withClue
import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.shouldBe
import org.endivestep.fakes.EgressFixture
import org.endivestep.fakes.sampleAttempt
import org.endivestep.identity.Fingerprint
import org.endivestep.identity.ServiceName
import org.endivestep.identity.WorkerIncarnation
import org.endivestep.outcome.AttemptResult
import org.endivestep.outcome.NotRunReason
import org.endivestep.quarantine.SuspicionLevel
import org.endivestep.settings.Address

private val crashing = Fingerprint("print")
private val lost: WorkerCall = { _, _ -> WorkerResult.Failed("connection reset", timedOut = false) }

private fun EgressFixture.announceRun(id: String, startedMs: Long): AnnouncementEffect {
    workerListens = true
    return workers.announce(
        Announcement(ServiceName("bestel"), Address("127.0.0.1", 1), WorkerIncarnation(id), leaving = false, WorkerCapacity(4, startedMs)),
    )
}

private fun EgressFixture.crash(): AttemptResult {
    workerListens = false
    return egress.run(sampleAttempt("attempt-${System.nanoTime()}", fingerprint = crashing.text)) { }
}

class WorkerRunTest :
    FunSpec({
        // Guards against a request that crashes again and again a worker that comes back under the id that it had.
        test("deaths are counted by run, which is the id and the start of the worker") {
            class Case(val name: String, val second: Pair<String, Long>, val level: SuspicionLevel)
            listOf(
                Case("another id", "b" to 2L, SuspicionLevel.QUARANTINED),
                Case("the same id, started again", "a" to 2L, SuspicionLevel.QUARANTINED),
                Case("another id, same start", "b" to 1L, SuspicionLevel.QUARANTINED),
                Case("the same run, taken for dead by mistake", "a" to 1L, SuspicionLevel.LONE_SUSPECT),
            ).forEach { case ->
                val fixture = EgressFixture(worker = lost)
                fixture.announceRun("a", startedMs = 1)
                fixture.crash()
                fixture.announceRun(case.second.first, case.second.second)
                fixture.crash()
                withClue(case.name) { fixture.crashes.suspicionLevel(crashing) shouldBe case.level }
            }
        }

        test("the end of an earlier run's request does not end a later run with its id") {
            val registry = WorkerRegistry()
            val runs =
                listOf(1L, 2L).map { startedMs ->
                    val capacity = WorkerCapacity(4, startedMs)
                    Announcement(ServiceName("bestel"), Address("127.0.0.1", 1), WorkerIncarnation("a"), leaving = false, capacity)
                }
            runs.forEach(registry::announce)
            registry.markDead(LocalWorker(runs.first(), WorkerPhase.SERVING)) shouldBe null
            registry.worker?.phase shouldBe WorkerPhase.SERVING
        }

        test("a worker that died twice under one id no longer gets the request") {
            val fixture = EgressFixture(worker = lost)
            (1L..2L).forEach {
                fixture.announceRun("a", it)
                fixture.crash()
            }
            fixture.announceRun("a", startedMs = 3)
            val refused = fixture.crash()
            (refused as? AttemptResult.NotRun)?.reason shouldBe NotRunReason.QUARANTINED
        }
    })
