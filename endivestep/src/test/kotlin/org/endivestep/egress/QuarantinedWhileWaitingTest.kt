package org.endivestep.egress

import io.kotest.assertions.withClue
import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.shouldBe
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
import org.endivestep.outcome.NotRunReason
import org.endivestep.quarantine.SuspicionEntry
import java.util.concurrent.Callable
import java.util.concurrent.Executors
import java.util.concurrent.TimeUnit

private const val LONG_MS = 60_000L

private val limits =
    LimitSettings(cold = 1, max = 1, idleColdAfterMs = 0, latencyTolerance = 1_000.0, queueLength = 4, queueWaitMs = LONG_MS)
private val crashing = Fingerprint("crashing")
private val deaths = setOf(WorkerRunId("a@1"), WorkerRunId("b@1"))

private fun EgressFixture.learnOfDeaths() = crashes.merge(listOf(SuspicionEntry(crashing, deaths, LONG_MS, lone = true)))

class QuarantinedWhileWaitingTest :
    FunSpec({
        // Guards against a copy that waited for the worker being run, and crashing it, after the request was quarantined.
        test("a waiting request that is quarantined meanwhile is not run") {
            class Case(val name: String, val then: EgressFixture.(Admission.Admitted) -> Unit)
            listOf(
                Case("refused at once, while the slot is still taken") { admission.refuseUnrunnable() },
                Case("refused when the slot is free") { admission.release(it.permit, Completion.Cancelled) },
            ).forEach { case ->
                val fixture = EgressFixture(worker = answering())
                fixture.admission.configure(limits)
                val running = fixture.admission.admit(AdmissionRequest(0)) as Admission.Admitted
                val thread = Executors.newSingleThreadExecutor()
                val copy = sampleAttempt("copy", fingerprint = crashing.text, remainingMs = LONG_MS)
                val result = thread.submit(Callable { fixture.egress.run(copy) { } })
                fixture.admission.awaitWaiting(1)
                fixture.learnOfDeaths()
                case.then(fixture, running)
                withClue(case.name) {
                    (result.get(5, TimeUnit.SECONDS) as? AttemptResult.NotRun)?.reason shouldBe NotRunReason.QUARANTINED
                    fixture.runs.get() shouldBe 0
                }
                thread.shutdownNow()
            }
        }
    })
