package org.endivestep.protocol

import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.longs.shouldBeLessThan
import io.kotest.matchers.shouldBe
import org.endivestep.egress.WorkerResult
import org.endivestep.exchange.monotonicMs
import org.endivestep.fakes.EgressFixture
import org.endivestep.fakes.WireFixture
import org.endivestep.fakes.sampleAttempt
import org.endivestep.outcome.AttemptResult
import org.endivestep.outcome.UnknownReason
import java.util.concurrent.CountDownLatch
import kotlin.concurrent.thread

private const val DEADLINE_MS = 1_500L

// The platform allows half a second after the deadline; the answer also has to reach the caller in it.
private const val MAX_LATENESS_MS = 400L

class UnresponsiveAtDeadlineTest :
    FunSpec({
        // Guards against callers that get their answer half a second late, because the connection is checked first.
        test("a request on a connection that has become unresponsive ends at its deadline") {
            val release = CountDownLatch(1)
            val worker = { _: Any, _: Any ->
                release.await()
                WorkerResult.Failed("released", timedOut = false)
            }
            WireFixture(EgressFixture(worker = worker)).use { wire ->
                val startMs = monotonicMs()
                thread {
                    Thread.sleep(DEADLINE_MS / 2)
                    wire.proxy.discardData()
                }
                val result = wire.client.attempt(wire.peer, sampleAttempt("late", remainingMs = DEADLINE_MS))
                val lateMs = monotonicMs() - startMs - DEADLINE_MS
                (result as? AttemptResult.Unknown)?.reason shouldBe UnknownReason.TIMEOUT
                lateMs shouldBeLessThan MAX_LATENESS_MS
                release.countDown()
            }
        }
    })
