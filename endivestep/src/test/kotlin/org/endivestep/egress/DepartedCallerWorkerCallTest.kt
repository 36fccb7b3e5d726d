package org.endivestep.egress

import io.kotest.assertions.withClue
import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.shouldBe
import org.endivestep.exchange.AttemptRequest
import org.endivestep.exchange.CallerLease
import org.endivestep.exchange.RequestBody
import org.endivestep.exchange.monotonicMs
import org.endivestep.fakes.ScriptedWorker
import org.endivestep.fakes.WorkerCallFixture
import org.endivestep.fakes.answerText
import org.endivestep.fakes.scriptedWorker
import org.endivestep.fakes.workerRequest
import java.util.concurrent.CompletableFuture
import java.util.concurrent.CountDownLatch
import java.util.concurrent.TimeUnit

// Shorter than the deadline, at which a request that nobody cancels ends.
private const val CLOSE_TIMEOUT_MS = 1_000L

// Long enough for a thread to hand its request to the event loop.
private const val HAND_OVER_MS = 200L

class DepartedCallerWorkerCallTest :
    FunSpec({
        // Guards against work that goes on after the close, until the thread of the request gets to run (issue 54).
        test("the connection of a request that is cancelled is closed without the thread of the request") {
            class Case(val name: String, val answerStart: String, val expected: String)
            listOf(
                Case("no answer has begun", "", "cancelled"),
                Case("the body of the answer has begun", answerText("r", "whole").dropLast(2), "cancelled"),
            ).forEach { case ->
                val received = CountDownLatch(1)
                val closed = CountDownLatch(1)
                ScriptedWorker {
                    readRequest()
                    send(case.answerStart)
                    received.countDown()
                    read(1)
                    closed.countDown()
                }.use { worker ->
                    WorkerCallFixture().use { fixture ->
                        val request = workerRequest("r", remainingMs = 10 * CLOSE_TIMEOUT_MS)
                        val result = CompletableFuture.supplyAsync { fixture.send(worker.address, request) }
                        received.await()
                        Thread.sleep(HAND_OVER_MS)
                        request.cancellation.cancel()
                        withClue(case.name) {
                            closed.await(CLOSE_TIMEOUT_MS, TimeUnit.MILLISECONDS) shouldBe true
                            result.get(5, TimeUnit.SECONDS) shouldBe case.expected
                        }
                    }
                }
            }
        }

        test("a connection that carries another request is not closed by the cancellation of an earlier one") {
            scriptedWorker(listOf(answerText("1", "whole"), answerText("2", "whole"))) { awaitClose() }.use { worker ->
                WorkerCallFixture().use { fixture ->
                    val first = workerRequest("1")
                    fixture.send(worker.address, first) shouldBe "200 whole"
                    first.cancellation.cancel()
                    fixture.send(worker.address, workerRequest("2")) shouldBe "200 whole"
                    worker.connections shouldBe 1
                }
            }
        }

        // Guards against a request that is written although its caller is known to have left, because its thread has not run since.
        test("a request that is cancelled before the event loop writes it is not sent to the worker") {
            class Case(
                val name: String,
                val expected: String,
                val deadlineMs: Long = 5_000,
                val body: RequestBody = RequestBody.Inline(ByteArray(0)),
                val whileStalled: (AttemptRequest) -> Unit,
            )
            val upload = RequestBody.Streamed("body".byteInputStream(), 4)
            listOf(
                Case("nothing happens", "200 whole") { },
                Case("the caller leaves", "expired") { it.cancellation.cancel() },
                Case("the deadline passes", "timed out", deadlineMs = 300) { Thread.sleep(300) },
                Case("the lease expires", "expired") { Thread.sleep(CallerLease.DURATION_MS) },
                Case("the caller of an upload leaves", "expired", body = upload) { it.cancellation.cancel() },
            ).forEach { case ->
                scriptedWorker(listOf(answerText("warm", "whole"), answerText("r", "whole"))) { awaitClose() }.use { worker ->
                    WorkerCallFixture().use { fixture ->
                        fixture.send(worker.address, workerRequest("warm"))
                        val release = CountDownLatch(1)
                        fixture.loops.execute { release.await() }
                        val lease = CallerLease(monotonicMs()) { }
                        val request = workerRequest("r", remainingMs = case.deadlineMs, body = case.body, lease = lease)
                        val result = CompletableFuture.supplyAsync { fixture.send(worker.address, request) }
                        Thread.sleep(HAND_OVER_MS)
                        case.whileStalled(request)
                        release.countDown()
                        withClue(case.name) {
                            result.get(5, TimeUnit.SECONDS) shouldBe case.expected
                            worker.requests.contains("r") shouldBe (case.expected == "200 whole")
                        }
                    }
                }
            }
        }
    })
