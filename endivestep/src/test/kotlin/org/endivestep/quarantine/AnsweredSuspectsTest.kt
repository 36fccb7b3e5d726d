package org.endivestep.quarantine

import io.kotest.assertions.withClue
import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.shouldBe
import org.endivestep.document.QuarantineSettings
import org.endivestep.identity.Fingerprint
import org.endivestep.identity.WorkerRunId

private const val DURATION_MS = 60_000L
private val request = Fingerprint("request")

private fun Quarantine.died(run: Int, vararg beside: String) =
    workerDied(WorkerRunId("run-$run"), listOf(request) + beside.map(::Fingerprint))

class AnsweredSuspectsTest :
    FunSpec({
        // Guards against a request that was answered once, and has crashed each of its workers since, never being suspected.
        test("an earlier answer exempts a request from one death, and only beside requests that may have caused it") {
            class Case(val name: String, val level: SuspicionLevel, val steps: Quarantine.() -> Unit)
            listOf(
                Case("alone at a death", SuspicionLevel.LONE_SUSPECT) { died(1) },
                Case("alone at two deaths", SuspicionLevel.QUARANTINED) {
                    died(1)
                    died(2)
                },
                Case("beside another request", SuspicionLevel.CLEAR) { died(1, "new") },
                Case("beside another request that was answered as well", SuspicionLevel.SUSPECT) {
                    answered(Fingerprint("other"))
                    died(1, "other")
                },
                Case("beside new requests at two deaths", SuspicionLevel.QUARANTINED) {
                    died(1, "new-1")
                    died(2, "new-2")
                },
                Case("beside new requests at two deaths, answered between them", SuspicionLevel.CLEAR) {
                    died(1, "new-1")
                    answered(request)
                    died(2, "new-2")
                },
                Case("beside a request that crashes its workers", SuspicionLevel.CLEAR) { (1..5).forEach { died(it, "crashing") } },
                Case("answered after a death", SuspicionLevel.CLEAR) {
                    died(1)
                    answered(request)
                },
            ).forEach { case ->
                val quarantine = Quarantine(QuarantineSettings(deaths = 2, DURATION_MS)) { 0 }
                quarantine.answered(request)
                case.steps(quarantine)
                withClue(case.name) { quarantine.suspicionLevel(request) shouldBe case.level }
            }
        }
    })
