package org.endivestep.ingress

import io.kotest.assertions.withClue
import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.shouldBe
import org.endivestep.concurrent.LoopDelay
import org.endivestep.exchange.RequestBody

class ReadDelayTest :
    FunSpec({
        test("a request waited for no longer than its loop was behind, when it was read and when its connection was accepted") {
            class Case(
                val name: String,
                val blockedBeforeOpeningMs: Long = 0,
                val blockedBeforeReadMs: Long = 0,
                val earlierRequests: Int = 0,
                val expectedMs: Long,
            )
            listOf(
                Case("a loop that keeps up", expectedMs = 0),
                Case("a connection that waited", blockedBeforeOpeningMs = 500, expectedMs = 500),
                Case("a request that waited on a new connection", blockedBeforeReadMs = 300, expectedMs = 300),
                Case("both waited", blockedBeforeOpeningMs = 500, blockedBeforeReadMs = 300, expectedMs = 800),
                Case("a later request", blockedBeforeOpeningMs = 500, earlierRequests = 1, expectedMs = 0),
                Case("a later request that waited", blockedBeforeReadMs = 300, earlierRequests = 1, expectedMs = 300),
            ).forEach { case ->
                var nowMs = 1_000L
                val ticks = ArrayDeque<() -> Unit>()
                val loop = LoopDelay({ nowMs }) { _, task -> ticks += task }
                loop.noteActivity()
                nowMs += case.blockedBeforeOpeningMs
                val delay = ReadDelay(loop, nowMs)
                ticks.removeFirst()()
                repeat(case.earlierRequests) { delay.atRead(nowMs) }
                nowMs += case.blockedBeforeReadMs
                withClue(case.name) { delay.atRead(nowMs) shouldBe case.expectedMs }
            }
        }

        test("the time that a caller has left is what its request has not waited, as far as that is known") {
            class Case(val deadlineMs: Long, val readDelayMs: Long, val sentBeforeMs: Long)
            listOf(
                Case(deadlineMs = 700, readDelayMs = 0, sentBeforeMs = 0),
                Case(deadlineMs = 700, readDelayMs = 400, sentBeforeMs = 200),
                Case(deadlineMs = 700, readDelayMs = 5_000, sentBeforeMs = 350),
            ).forEach { case ->
                val body = RequestBody.Inline(ByteArray(0))
                val request = CallerRequest("GET", "/", emptyList(), body, arrivedMs = 10_000, readDelayMs = case.readDelayMs)
                withClue("deadline ${case.deadlineMs}, read after ${case.readDelayMs} ms") {
                    request.sentMs(case.deadlineMs) shouldBe 10_000 - case.sentBeforeMs
                }
            }
        }
    })
