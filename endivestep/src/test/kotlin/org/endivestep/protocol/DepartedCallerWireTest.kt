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

private fun AttemptResult.close() = (this as? AttemptResult.Answered)?.body?.close()

class DepartedCallerWireTest :
    FunSpec({
        // Guards against a deadline that starts anew at the worker's daemon, however long the request was on its way.
        test("the time that a request waits between two daemons counts against its deadline") {
            val remainingMs = LinkedBlockingQueue<Long>()
            val worker: WorkerCall = { local, request ->
                remainingMs += request.deadline.remainingMs(monotonicMs())
                answering()(local, request)
            }
            WireFixture(EgressFixture(worker = worker)).use { wire ->
                // Each of the two connections to a peer learns its usual delay.
                repeat(4) { wire.client.attempt(wire.peer, sampleAttempt("calm-$it")).close() }
                remainingMs.clear()
                wire.proxy.fault = LinkFault(delayMs = CROSSING_MS)
                wire.client.attempt(wire.peer, sampleAttempt("late", remainingMs = DEADLINE_MS)).close()
                // A quarter for threads that start late.
                remainingMs.poll(5, TimeUnit.SECONDS)!! shouldBeInRange DEADLINE_MS * 3 / 4 - CROSSING_MS..DEADLINE_MS - CROSSING_MS
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
