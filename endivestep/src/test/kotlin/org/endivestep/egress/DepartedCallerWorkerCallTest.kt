package org.endivestep.egress

import io.kotest.assertions.withClue
import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.shouldBe
import org.endivestep.exchange.AttemptRequest
import org.endivestep.exchange.CallerLease
import org.endivestep.exchange.RequestBody
import org.endivestep.exchange.monotonicMs
import org.endivestep.fakes.WorkerCallFixture
import org.endivestep.fakes.answerText
import org.endivestep.fakes.scriptedWorker
import org.endivestep.fakes.workerRequest
import java.util.concurrent.CompletableFuture
import java.util.concurrent.CountDownLatch
import java.util.concurrent.TimeUnit

// Long enough for a thread to hand its request to the event loop.
private const val HAND_OVER_MS = 200L

class DepartedCallerWorkerCallTest :
    FunSpec({
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
