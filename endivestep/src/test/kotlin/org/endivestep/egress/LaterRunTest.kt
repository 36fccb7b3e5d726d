package org.endivestep.egress

import io.kotest.assertions.withClue
import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.shouldBe
import org.endivestep.identity.ServiceName
import org.endivestep.identity.WorkerIncarnation
import org.endivestep.settings.Address

private fun announcement(startedMs: Long, leaving: Boolean) =
    Announcement(ServiceName("s"), Address("127.0.0.1", 1), WorkerIncarnation("a"), leaving, WorkerCapacity(4, startedMs))

class LaterRunTest :
    FunSpec({
        // Guards against a worker that is never used, because the run before it left with a message that told no start.
        test("a run that starts after another one of its id has left is used") {
            class Case(val name: String, val leftStartedMs: Long, val startedMs: Long, val serves: Boolean)
            listOf(
                Case("the run that left", 10, 10, serves = false),
                Case("a later run", 10, 20, serves = true),
                Case("a later run, start of the one that left unknown", UNKNOWN_START_MS, 20, serves = true),
                Case("start unknown", UNKNOWN_START_MS, UNKNOWN_START_MS, serves = false),
            ).forEach { case ->
                val registry = WorkerRegistry()
                registry.announce(announcement(case.leftStartedMs, leaving = true))
                registry.announce(announcement(case.startedMs, leaving = false))
                withClue(case.name) { (registry.worker?.phase == WorkerPhase.SERVING) shouldBe case.serves }
            }
        }
    })
