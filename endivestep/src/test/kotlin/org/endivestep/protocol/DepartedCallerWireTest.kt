package org.endivestep.protocol

import io.kotest.assertions.throwables.shouldThrow
import io.kotest.assertions.withClue
import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.longs.shouldBeInRange
import io.kotest.matchers.shouldBe
import org.endivestep.egress.WorkerCall
import org.endivestep.exchange.AttemptRequest
import org.endivestep.exchange.CallerLease
import org.endivestep.exchange.monotonicMs
import org.endivestep.fakes.EgressFixture
import org.endivestep.fakes.LinkFault
import org.endivestep.fakes.WireFixture
import org.endivestep.fakes.answering
import org.endivestep.fakes.sampleAttempt
import org.endivestep.outcome.AttemptResult
import org.endivestep.outcome.NotRunReason
import java.util.concurrent.CompletableFuture
import java.util.concurrent.CountDownLatch
import java.util.concurrent.ExecutionException
import java.util.concurrent.LinkedBlockingQueue
import java.util.concurrent.TimeUnit

private const val DEADLINE_MS = 2_000L
private const val OLD_LEASE_MS = 2 * CallerLease.DURATION_MS

/** Of the times in whole ms that are compared. */
private const val ROUNDING_MS = 3L

private class Arrival(val atMs: Long, val remainingMs: Long)

/** A request that took [wayMs] to its worker, where [remainingMs] of its deadline were left. */
private class SentRequest(val wayMs: Long, val remainingMs: Long)

private fun AttemptResult.close() = (this as? AttemptResult.Answered)?.body?.close()

class DepartedCallerWireTest :
    FunSpec({
        // Guards against a deadline that starts anew at the worker's daemon, however long the request was on its way (issue 54).
        test("the time that a request waits between two daemons counts against its deadline, also on a new connection") {
            class Case(val name: String, val earlierRequests: Int, val crossingMs: Long)
            val arrivals = LinkedBlockingQueue<Arrival>()
            val worker: WorkerCall = { local, request ->
                val nowMs = monotonicMs()
                arrivals += Arrival(nowMs, request.deadline.remainingMs(nowMs))
                answering()(local, request)
            }
            listOf(
                // Before it there are messages that open the connection, and each of them takes as long.
                Case("the first request", earlierRequests = 0, crossingMs = 40),
                Case("a later request", earlierRequests = 4, crossingMs = 150),
            ).forEach { case ->
                WireFixture(EgressFixture(worker = worker), admitTimeoutMs = DEADLINE_MS).use { wire ->
                    fun send(id: String): SentRequest {
                        val sentMs = monotonicMs()
                        wire.client.attempt(wire.peer, sampleAttempt(id, remainingMs = DEADLINE_MS, nowMs = sentMs)).close()
                        val arrival = arrivals.poll(5, TimeUnit.SECONDS)!!
                        return SentRequest(arrival.atMs - sentMs, arrival.remainingMs)
                    }
                    repeat(case.earlierRequests) { send("calm-$it") }
                    wire.proxy.fault = LinkFault(delayMs = case.crossingMs)
                    val late = send("late")
                    // What is counted beyond the true wait is at most the way of a question and of its answer.
                    val leastMs = DEADLINE_MS - 2 * late.wayMs - ROUNDING_MS
                    withClue(case.name) { late.remainingMs shouldBeInRange leastMs..DEADLINE_MS - late.wayMs + ROUNDING_MS }
                }
            }
        }

        // Guards against a request that runs because nothing is known of how long it was on its way (issue 54).
        test("a request is run only if its caller is known to wait, or its sender confirms it") {
            class Case(val name: String, val leaseAgeMs: Long, val confirms: Boolean, val earlierRequests: Int, val runs: Boolean)
            listOf(
                Case("a new lease on a new connection", 0, confirms = true, earlierRequests = 0, runs = true),
                Case("an unconfirmed lease on a new connection", 0, confirms = false, earlierRequests = 0, runs = false),
                Case("a new lease on a used connection", 0, confirms = false, earlierRequests = 1, runs = true),
                Case("an old lease", OLD_LEASE_MS, confirms = true, earlierRequests = 1, runs = true),
                Case("an old lease that is not confirmed", OLD_LEASE_MS, confirms = false, earlierRequests = 1, runs = false),
            ).forEach { case ->
                val fixture = EgressFixture(worker = answering())
                WireFixture(fixture, admitTimeoutMs = 2_000).use { wire ->
                    repeat(case.earlierRequests) { wire.client.attempt(wire.peer, sampleAttempt("earlier-$it")).close() }
                    val lease = CallerLease(monotonicMs() - case.leaseAgeMs) { onPresent -> if (case.confirms) onPresent() }
                    val result = wire.client.attempt(wire.peer, sampleAttempt("last", lease = lease))
                    withClue(case.name) {
                        (result as? AttemptResult.NotRun)?.reason shouldBe NotRunReason.DELAYED.takeUnless { case.runs }
                        fixture.runs.get() shouldBe case.earlierRequests + if (case.runs) 1 else 0
                    }
                    result.close()
                }
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
