package org.endivestep.daemon

import io.kotest.assertions.withClue
import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.shouldBe
import org.endivestep.egress.HEALTH_ANSWER_SEQUENCE
import org.endivestep.egress.WorkerHeartbeat
import org.endivestep.egress.WorkerRegistry
import org.endivestep.identity.ServiceName
import org.endivestep.identity.WorkerIncarnation
import org.endivestep.settings.Address

private val service = ServiceName("s")

private fun heartbeat(sequence: Long, id: String = "a") =
    WorkerHeartbeat(WorkerIncarnation(id), service, startedMs = 10, sequence, slots = 4, coldMs = 0, leaving = false)

private fun healthAnswer(id: String = "a") = heartbeat(HEALTH_ANSWER_SEQUENCE, id).copy(startedMs = 0)

class HeartbeatReceiverTest :
    FunSpec({
        // Guards against a daemon that ignores the health answers of its worker after a start, and refuses requests until a heartbeat.
        test("a worker is known when a health answer or another heartbeat confirms its first heartbeat") {
            class Case(val name: String, val received: List<WorkerHeartbeat>, val known: List<Boolean>)
            listOf(
                Case("a health answer alone", listOf(healthAnswer()), listOf(true)),
                Case("a heartbeat, then a health answer", listOf(heartbeat(30), healthAnswer()), listOf(false, true)),
                Case("two heartbeats", listOf(heartbeat(30), heartbeat(31)), listOf(false, true)),
                Case("the same heartbeat twice", listOf(heartbeat(30), heartbeat(30)), listOf(false, false)),
                Case(
                    "a late heartbeat, then a health answer of another worker",
                    listOf(heartbeat(30), healthAnswer("b")),
                    listOf(false, true),
                ),
            ).forEach { case ->
                val workers = WorkerRegistry()
                val receiver =
                    HeartbeatReceiver(service, Address("127.0.0.1", 1), workers) { announcement, _ -> workers.announce(announcement) }
                withClue(case.name) {
                    case.received.map {
                        receiver.receive(it)
                        workers.worker != null
                    } shouldBe case.known
                }
            }
        }
    })
