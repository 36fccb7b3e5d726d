package org.endivestep.egress

import io.kotest.assertions.withClue
import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.shouldBe
import io.kotest.matchers.string.shouldStartWith
import org.endivestep.exchange.RequestBody
import org.endivestep.fakes.ScriptedWorker
import org.endivestep.fakes.WorkerCallFixture
import org.endivestep.fakes.answerText
import org.endivestep.fakes.workerRequest
import java.util.concurrent.CompletableFuture
import java.util.concurrent.TimeUnit

private const val LENGTH = 200_000

private fun bodyOf(length: Int) = ByteArray(length) { ('a' + it % 26).code.toByte() }

/** A worker that answers the first request of its first connection with [answers] before it has read the body, and then reads on. */
private class EarlyWorker(private val answers: String) : AutoCloseable {
    /** Bytes behind the head of the first request: of its body, and of what follows its stated length. */
    val body = CompletableFuture<ByteArray>()
    val afterBody = CompletableFuture<ByteArray>()
    private val worker =
        ScriptedWorker {
            readRequest()
            if (number == 1) {
                send(answers)
                Thread.sleep(50)
                body.complete(read(LENGTH))
                afterBody.complete(read("GET /a/1".length))
                send(answerText("2", "second"))
            } else {
                send(answerText("2", "second"))
            }
            awaitClose()
        }
    val address get() = worker.address

    override fun close() = worker.close()
}

class EarlyAnswerTest :
    FunSpec({
        test("after an answer before the end of the request body, only the rest of that body is sent before the next request") {
            val own = answerText("1", "early")
            class Case(val name: String, val answers: String)
            listOf(
                Case("the answer alone", own),
                Case("a copy behind it", own + own),
                Case("an answer to another request before it", answerText("0", "other") + own),
                Case("an interim answer before it", "HTTP/1.1 102 Processing\r\n\r\n$own"),
                Case("part of a copy behind it", own + own.take(10)),
            ).forEach { case ->
                WorkerCallFixture().use { fixture ->
                    EarlyWorker(case.answers).use { worker ->
                        val body = RequestBody.Streamed(bodyOf(LENGTH).inputStream(), LENGTH.toLong())
                        withClue(case.name) {
                            fixture.send(worker.address, workerRequest("1", method = "POST", body = body)) shouldBe "200 early"
                            fixture.send(worker.address, workerRequest("2")) shouldBe "200 second"
                            val rest = worker.body.get(5, TimeUnit.SECONDS)
                            rest.contentEquals(bodyOf(LENGTH).copyOf(rest.size)) shouldBe true
                            "GET /a/1" shouldStartWith worker.afterBody.get(5, TimeUnit.SECONDS).decodeToString()
                        }
                    }
                }
            }
        }

        // Guards against the next request being read as the rest of a body, and the surplus of a body as the next request.
        test("a request body that differs from its stated length ends the connection") {
            listOf(LENGTH - 1_000, LENGTH + 1_000).forEach { actual ->
                WorkerCallFixture().use { fixture ->
                    EarlyWorker(answerText("1", "early")).use { worker ->
                        val body = RequestBody.Streamed(bodyOf(actual).inputStream(), LENGTH.toLong())
                        withClue("$actual of $LENGTH bytes") {
                            fixture.send(worker.address, workerRequest("1", method = "POST", body = body)) shouldBe "failed"
                            fixture.send(worker.address, workerRequest("2")) shouldBe "200 second"
                            val rest = worker.body.get(5, TimeUnit.SECONDS)
                            rest.contentEquals(bodyOf(actual).copyOf(rest.size)) shouldBe true
                            worker.afterBody.get(5, TimeUnit.SECONDS).size shouldBe 0
                        }
                    }
                }
            }
        }
    })
