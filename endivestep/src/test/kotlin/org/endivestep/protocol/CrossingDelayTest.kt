package org.endivestep.protocol

import io.kotest.assertions.withClue
import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.shouldBe
import java.util.Random

private const val WINDOW_MS = 1_000L

class CrossingDelayTest :
    FunSpec({
        test("a message waited for what its clock difference has beyond the least one") {
            class Message(val sentMs: Long, val arrivedMs: Long, val waitedMs: Long)

            class Case(val name: String, val messages: List<Message>)
            listOf(
                Case("a first message", listOf(Message(sentMs = 0, arrivedMs = 70_000, waitedMs = 0))),
                Case("messages that take the same time", listOf(Message(0, 70_000, 0), Message(100, 70_100, 0), Message(300, 70_300, 0))),
                Case("a message that waited", listOf(Message(0, 70_000, 0), Message(100, 70_700, 600), Message(800, 70_800, 0))),
                Case("a receiver whose clock is behind the sender's", listOf(Message(70_000, 0, 0), Message(70_100, 350, 250))),
                Case("a first message that waited", listOf(Message(0, 70_400, 0), Message(500, 70_500, 0), Message(600, 70_700, 100))),
                Case(
                    "a sender whose clock was suspended for 300 ms",
                    listOf(
                        Message(0, 70_000, 0),
                        Message(200, 70_500, 300),
                        Message(800, 71_100, 300),
                        Message(1_900, 72_200, 0),
                    ),
                ),
                Case(
                    "a connection that was idle for long",
                    listOf(Message(0, 70_000, 0), Message(9_000, 79_400, 0), Message(9_100, 79_550, 50)),
                ),
            ).forEach { case ->
                val delay = CrossingDelay(WINDOW_MS)
                case.messages.forEachIndexed { index, message ->
                    withClue("${case.name}, message $index") { delay.waitedMs(message.sentMs, message.arrivedMs) shouldBe message.waitedMs }
                }
            }
        }

        test("the estimate is never more than the true wait") {
            val random = Random(37)
            repeat(200) {
                val delay = CrossingDelay(WINDOW_MS)
                val clockDifferenceMs = random.nextInt(200_000) - 100_000L
                val leastWayMs = random.nextInt(20).toLong()
                var sentMs = 0L
                repeat(100) {
                    sentMs += random.nextInt(200)
                    val waitMs = if (random.nextInt(3) == 0) random.nextInt(900).toLong() else 0
                    val estimateMs = delay.waitedMs(sentMs, sentMs + clockDifferenceMs + leastWayMs + waitMs)
                    (estimateMs in 0..waitMs) shouldBe true
                }
            }
        }
    })
