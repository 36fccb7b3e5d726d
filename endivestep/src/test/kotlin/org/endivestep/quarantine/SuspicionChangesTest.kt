package org.endivestep.quarantine

import io.kotest.assertions.withClue
import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.shouldBe
import org.endivestep.document.QuarantineSettings
import org.endivestep.identity.Fingerprint
import org.endivestep.identity.WorkerRunId

private const val DURATION_MS = 1_000L
private val request = Fingerprint("request")
private val other = Fingerprint("other")

private fun run(name: String) = WorkerRunId(name)

class SuspicionChangesTest :
    FunSpec({
        // Guards against a death after which the log does not tell why a request was suspected, or why it was not.
        test("each change of a suspicion is reported with its cause and the deaths counted so far") {
            class Case(
                val name: String,
                val causes: List<SuspicionCause>,
                val deaths: Int,
                val steps: Quarantine.(wait: (Long) -> Unit) -> Unit,
            )
            listOf(
                Case("in flight", listOf(SuspicionCause.IN_FLIGHT_AT_DEATH), 1) { workerDied(run("a"), listOf(request)) },
                Case("twice in flight", List(2) { SuspicionCause.IN_FLIGHT_AT_DEATH }, 2) {
                    workerDied(run("a"), listOf(request))
                    workerDied(run("b"), listOf(request))
                },
                Case("answered before", listOf(SuspicionCause.ANSWERED_RECENTLY), 0) {
                    answered(request)
                    workerDied(run("a"), listOf(request, other))
                },
                Case("answered after", listOf(SuspicionCause.IN_FLIGHT_AT_DEATH, SuspicionCause.ANSWERED), 0) {
                    workerDied(run("a"), listOf(request))
                    answered(request)
                },
                Case("reported twice", listOf(SuspicionCause.REPORTED), 1) {
                    repeat(2) { merge(SuspicionEntry(request, setOf(run("a")), DURATION_MS, lone = true)) }
                },
                Case("expired", listOf(SuspicionCause.IN_FLIGHT_AT_DEATH, SuspicionCause.EXPIRED), 0) { wait ->
                    workerDied(run("a"), listOf(request))
                    wait(DURATION_MS)
                    suspicionLevel(request)
                },
            ).forEach { case ->
                var nowMs = 0L
                val changes = mutableListOf<SuspicionChange>()
                val quarantine = Quarantine(QuarantineSettings(deaths = 2, DURATION_MS), { changes += it }) { nowMs }
                case.steps(quarantine) { nowMs += it }
                val ofRequest = changes.filter { it.fingerprint == request }
                withClue(case.name) {
                    ofRequest.map { it.cause } shouldBe case.causes
                    ofRequest.last().deaths.size shouldBe case.deaths
                }
            }
        }
    })
