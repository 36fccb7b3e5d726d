package org.endivestep.quarantine

import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.shouldBe
import org.endivestep.document.QuarantineSettings
import org.endivestep.identity.Fingerprint
import org.endivestep.identity.WorkerRunId

private val settings = QuarantineSettings(deaths = 2, durationMs = 1_000)
private val crashing = Fingerprint("crashing")
private val innocent = Fingerprint("innocent")

private fun incarnation(name: String) = WorkerRunId(name)

class QuarantineTest :
    FunSpec({
        test("a request in flight at two deaths is refused until the entry expires") {
            var nowMs = 0L
            val quarantine = Quarantine(settings) { nowMs }
            quarantine.workerDied(incarnation("a"), listOf(crashing, innocent))
            quarantine.suspicionLevel(crashing) shouldBe SuspicionLevel.SUSPECT
            quarantine.answered(innocent)
            quarantine.suspicionLevel(innocent) shouldBe SuspicionLevel.CLEAR
            quarantine.workerDied(incarnation("b"), listOf(crashing))
            quarantine.suspicionLevel(crashing) shouldBe SuspicionLevel.QUARANTINED
            nowMs = 1_001
            quarantine.suspicionLevel(crashing) shouldBe SuspicionLevel.CLEAR
        }

        test("a recently answered request is not a suspect") {
            val quarantine = Quarantine(settings) { 0 }
            quarantine.answered(innocent)
            listOf("a", "b", "c").forEach { quarantine.workerDied(incarnation(it), listOf(crashing, innocent)) }
            quarantine.suspicionLevel(innocent) shouldBe SuspicionLevel.CLEAR
            quarantine.suspicionLevel(crashing) shouldBe SuspicionLevel.QUARANTINED
        }

        test("the same worker death counts once, whichever daemon reports it") {
            val quarantine = Quarantine(settings) { 0 }
            val reported = quarantine.workerDied(incarnation("a"), listOf(crashing))
            reported.forEach(quarantine::merge)
            quarantine.suspicionLevel(crashing) shouldBe SuspicionLevel.LONE_SUSPECT
            quarantine.merge(SuspicionEntry(crashing, setOf(incarnation("b")), 500, lone = false)) shouldBe true
            quarantine.suspicionLevel(crashing) shouldBe SuspicionLevel.QUARANTINED
        }

        test("an answer does not clear a quarantined request") {
            val quarantine = Quarantine(settings) { 0 }
            listOf("a", "b").forEach { quarantine.workerDied(incarnation(it), listOf(crashing)) }
            quarantine.answered(crashing)
            quarantine.suspicionLevel(crashing) shouldBe SuspicionLevel.QUARANTINED
        }
    })
