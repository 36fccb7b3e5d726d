package org.endivestep.quarantine

import io.kotest.assertions.withClue
import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.shouldBe
import org.endivestep.document.QuarantineSettings
import org.endivestep.identity.Fingerprint
import org.endivestep.identity.WorkerRunId

private const val DURATION_MS = 1_000L

private fun from(origin: String) = Fingerprint("request.$origin")

private fun Quarantine.died(run: String, vararg origins: String) = workerDied(WorkerRunId(run), origins.map(::from))

class RequestOriginsTest :
    FunSpec({
        // Guards against a request that crashes worker after worker because requests of another origin with its content are answered.
        test("origins are suspected separately until workers died of several") {
            class Case(val name: String, val levels: List<SuspicionLevel>, val steps: Quarantine.() -> Unit)
            listOf(
                Case("one origin crashes", listOf(SuspicionLevel.QUARANTINED, SuspicionLevel.CLEAR)) {
                    died("1", "a")
                    died("2", "a")
                },
                Case("answers to the other origin before and between", listOf(SuspicionLevel.QUARANTINED, SuspicionLevel.CLEAR)) {
                    answered(from("b"))
                    died("1", "a")
                    answered(from("b"))
                    died("2", "a")
                },
                Case("two origins, each once", listOf(SuspicionLevel.LONE_SUSPECT, SuspicionLevel.LONE_SUSPECT)) {
                    died("1", "a")
                    died("2", "b")
                },
                Case("two origins, three deaths", listOf(SuspicionLevel.QUARANTINED, SuspicionLevel.QUARANTINED)) {
                    died("1", "a")
                    died("2", "a")
                    died("3", "b")
                },
                Case("two origins, three deaths, one answered", listOf(SuspicionLevel.QUARANTINED, SuspicionLevel.CLEAR)) {
                    died("1", "a")
                    died("2", "a")
                    died("3", "b")
                    answered(from("b"))
                },
                Case("both in flight at the same two deaths", listOf(SuspicionLevel.QUARANTINED, SuspicionLevel.QUARANTINED)) {
                    died("1", "a", "b")
                    died("2", "a", "b")
                },
            ).forEach { case ->
                val quarantine = Quarantine(QuarantineSettings(deaths = 2, DURATION_MS)) { 0 }
                case.steps(quarantine)
                withClue(case.name) { listOf("a", "b").map { quarantine.suspicionLevel(from(it)) } shouldBe case.levels }
            }
        }

        test("an origin that nobody has seen is refused as well once workers died of several others") {
            val quarantine = Quarantine(QuarantineSettings(deaths = 2, DURATION_MS)) { 0 }
            listOf("1" to "a", "2" to "a", "3" to "b").forEach { (run, origin) -> quarantine.died(run, origin) }
            quarantine.suspicionLevel(from("c")) shouldBe SuspicionLevel.QUARANTINED
        }
    })
