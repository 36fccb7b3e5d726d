package org.endivestep.protocol

import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.types.shouldBeInstanceOf
import org.endivestep.egress.WorkerCall
import org.endivestep.fakes.EgressFixture
import org.endivestep.fakes.LinkFault
import org.endivestep.fakes.WireFixture
import org.endivestep.fakes.answering
import org.endivestep.fakes.sampleAttempt
import org.endivestep.outcome.AttemptResult
import kotlin.concurrent.thread

/** Shortly before the first ping on a connection over which nothing has come since the start of the attempt. */
private const val BEFORE_PING_MS = 9_500L
private const val PING_DELAY_MS = 4_000L
private const val WORK_MS = 13_000L

class SlowKeepAliveTest :
    FunSpec({
        // Guards against a daemon that is taken for dead because it is behind, which ends all attempts of a connection (issue 57).
        test("an attempt goes on while pings on its connection are answered late") {
            val worker: WorkerCall = { local, request ->
                Thread.sleep(WORK_MS)
                answering()(local, request)
            }
            WireFixture(EgressFixture(worker = worker)).use { wire ->
                thread {
                    Thread.sleep(BEFORE_PING_MS)
                    wire.proxy.fault = LinkFault(delayMs = PING_DELAY_MS)
                }
                wire.client.attempt(wire.peer, sampleAttempt(remainingMs = 30_000)).shouldBeInstanceOf<AttemptResult.Answered>()
            }
        }
    })
