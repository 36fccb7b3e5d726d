package org.endivestep.egress

import io.kotest.assertions.withClue
import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.shouldBe
import org.endivestep.identity.ServiceName
import org.endivestep.identity.WorkerIncarnation

private fun heartbeat(id: String, startedMs: Long, sequence: Long, leaving: Boolean = false) =
    WorkerHeartbeat(WorkerIncarnation(id), ServiceName("s"), startedMs, sequence, slots = 4, coldMs = 0, leaving)

class FirstHeartbeatsTest :
    FunSpec({
        // Guards against a worker that had left and is used again, because its daemon restarted and got one of its heartbeats late.
        test("a daemon that knows no worker believes a second heartbeat of a run, a health answer, or that a worker leaves") {
            class Case(val name: String, val heartbeats: List<WorkerHeartbeat>, val confirmed: List<Boolean>)
            listOf(
                Case("one heartbeat", listOf(heartbeat("a", 10, 7)), listOf(false)),
                Case("two of a run", listOf(heartbeat("a", 10, 7), heartbeat("a", 10, 8)), listOf(false, true)),
                Case("one of each of two workers", listOf(heartbeat("a", 10, 7), heartbeat("b", 20, 1)), listOf(false, false)),
                Case("one of each of two runs of an id", listOf(heartbeat("a", 10, 7), heartbeat("a", 20, 1)), listOf(false, false)),
                Case(
                    "a late one, then two of a later run",
                    listOf(heartbeat("a", 10, 7), heartbeat("b", 20, 1), heartbeat("b", 20, 2)),
                    listOf(false, false, true),
                ),
                Case("a health answer", listOf(heartbeat("a", 0, HEALTH_ANSWER_SEQUENCE)), listOf(true)),
                Case("a heartbeat of a worker that leaves", listOf(heartbeat("a", 10, 7, leaving = true)), listOf(true)),
                Case(
                    "a heartbeat, then a health answer of the same worker",
                    listOf(heartbeat("a", 10, 7), heartbeat("a", 0, HEALTH_ANSWER_SEQUENCE)),
                    listOf(false, true),
                ),
            ).forEach { case ->
                val first = FirstHeartbeats()
                withClue(case.name) { case.heartbeats.map { first.confirm(it) != null } shouldBe case.confirmed }
            }
        }

        test("a health answer that confirms a heartbeat keeps the start of the worker's run") {
            val first = FirstHeartbeats()
            first.confirm(heartbeat("a", 10, 7))
            first.confirm(heartbeat("a", 0, HEALTH_ANSWER_SEQUENCE).copy(coldMs = 900)) shouldBe heartbeat("a", 10, 7).copy(coldMs = 900)
        }
    })
