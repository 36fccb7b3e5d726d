package org.endivestep.egress

import io.kotest.assertions.withClue
import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.ints.shouldBeLessThanOrEqual
import io.kotest.matchers.shouldBe
import org.endivestep.fakes.ScriptedWorker
import org.endivestep.fakes.WorkerCallFixture
import org.endivestep.fakes.answerText
import org.endivestep.fakes.workerRequest
import java.util.concurrent.atomic.AtomicInteger

/** Returns a worker that sends its earlier answers on a connection once more before each answer; its first run ends with [firstStatus]. */
private fun repeatingWorker(firstStatus: String): ScriptedWorker {
    val runs = AtomicInteger()
    return ScriptedWorker {
        val earlier = StringBuilder()
        while (true) {
            val id = readRequest() ?: break
            val run = runs.incrementAndGet()
            val answer = answerText(id, "run $run", status = if (run == 1) firstStatus else "200 OK")
            send("$earlier$answer")
            earlier.append(answer)
        }
    }
}

class RepeatedRequestIdTest :
    FunSpec({
        // Guards against a late second copy of the first attempt's answer, which has the same request id, being taken as the next one's.
        test("an attempt that is sent again to the same worker gets the answer of its own run") {
            class Case(val name: String, val ids: List<String>, val firstStatus: String)
            listOf(
                Case("after a success", listOf("1", "1"), "200 OK"),
                Case("after a failure", listOf("1", "1"), "500 Internal Server Error"),
                Case("after a refusal", listOf("1", "1"), "503 Service Unavailable"),
                Case("twice", listOf("1", "1", "1"), "500 Internal Server Error"),
                Case("after a request between them", listOf("1", "2", "1"), "500 Internal Server Error"),
                Case("after ten requests between them", listOf("1") + (2..11).map { "$it" } + "1", "500 Internal Server Error"),
            ).forEach { case ->
                WorkerCallFixture().use { fixture ->
                    repeatingWorker(case.firstStatus).use { worker ->
                        val answers = case.ids.map { fixture.send(worker.address, workerRequest(it)) }
                        val expected = case.ids.indices.map { if (it == 0) "${case.firstStatus.take(3)} run 1" else "200 run ${it + 1}" }
                        withClue(case.name) {
                            answers shouldBe expected
                            worker.connections shouldBeLessThanOrEqual case.ids.count { it == "1" }
                        }
                    }
                }
            }
        }

        test("requests with ids of their own share one connection") {
            WorkerCallFixture().use { fixture ->
                repeatingWorker("200 OK").use { worker ->
                    (1..12).map { fixture.send(worker.address, workerRequest("$it")) } shouldBe (1..12).map { "200 run $it" }
                    worker.connections shouldBe 1
                }
            }
        }
    })
