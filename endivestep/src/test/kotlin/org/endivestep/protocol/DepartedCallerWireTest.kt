package org.endivestep.protocol

import io.kotest.assertions.throwables.shouldThrow
import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.longs.shouldBeInRange
import io.kotest.matchers.shouldBe
import org.endivestep.egress.WorkerCall
import org.endivestep.exchange.AttemptRequest
import org.endivestep.exchange.monotonicMs
import org.endivestep.fakes.EgressFixture
import org.endivestep.fakes.LinkFault
import org.endivestep.fakes.WireFixture
import org.endivestep.fakes.answering
import org.endivestep.fakes.sampleAttempt
import org.endivestep.outcome.AttemptResult
import java.util.concurrent.CompletableFuture
import java.util.concurrent.CountDownLatch
import java.util.concurrent.ExecutionException
import java.util.concurrent.LinkedBlockingQueue
import java.util.concurrent.TimeUnit

private const val CROSSING_MS = 150L
private const val DEADLINE_MS = 2_000L

/** Of the times in whole ms that are compared. */
private const val ROUNDING_MS = 3L

private class Arrival(val atMs: Long, val remainingMs: Long)

/** A request that took [wayMs] to its worker, where [remainingMs] of its deadline were left. */
private class SentRequest(val wayMs: Long, val remainingMs: Long)

private fun AttemptResult.close() = (this as? AttemptResult.Answered)?.body?.close()

class DepartedCallerWireTest :
    FunSpec({
        // Guards against a deadline that starts anew at the worker's daemon, however long the request was on its way.
        test("the time that a request waits between two daemons counts against its deadline") {
            val arrivals = LinkedBlockingQueue<Arrival>()
            val worker: WorkerCall = { local, request ->
                val nowMs = monotonicMs()
                arrivals += Arrival(nowMs, request.deadline.remainingMs(nowMs))
                answering()(local, request)
            }
            WireFixture(EgressFixture(worker = worker)).use { wire ->
                fun send(id: String): SentRequest {
                    val sentMs = monotonicMs()
                    wire.client.attempt(wire.peer, sampleAttempt(id, remainingMs = DEADLINE_MS, nowMs = sentMs)).close()
                    val arrival = arrivals.poll(5, TimeUnit.SECONDS)!!
                    return SentRequest(arrival.atMs - sentMs, arrival.remainingMs)
                }
                // Each of the two connections to a peer learns its usual delay, which is at most the time of its last calm request.
                val calm = (1..4).map { send("calm-$it") }
                val usualMs = calm.takeLast(2).maxOf { it.wayMs }
                wire.proxy.fault = LinkFault(delayMs = CROSSING_MS)
                val late = send("late")
                val mostMs = DEADLINE_MS - CROSSING_MS + usualMs + ROUNDING_MS
                late.remainingMs shouldBeInRange DEADLINE_MS - late.wayMs - ROUNDING_MS..mostMs
            }
        }

        // Guards against work that goes on while the thread of the request has no processor time to pass on that its caller has left.
        test("the cancellation of a request reaches the worker's daemon without its thread") {
            val started = LinkedBlockingQueue<AttemptRequest>()
            val cancelledThere = CountDownLatch(1)
            val worker: WorkerCall = { local, request ->
                request.cancellation.onCancel(cancelledThere::countDown)
                started += request
                Thread.sleep(10_000)
                answering()(local, request)
            }
            WireFixture(EgressFixture(worker = worker)).use { wire ->
                val request = sampleAttempt("left", remainingMs = 20_000)
                val result = CompletableFuture.supplyAsync { wire.client.attempt(wire.peer, request) }
                started.poll(5, TimeUnit.SECONDS)
                request.cancellation.cancel()
                cancelledThere.await(1, TimeUnit.SECONDS) shouldBe true
                shouldThrow<ExecutionException> { result.get(1, TimeUnit.SECONDS) }.cause!!::class shouldBe InterruptedException::class
            }
        }
    })
