package org.endivestep.protocol

import io.kotest.assertions.withClue
import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.longs.shouldBeLessThanOrEqual
import io.kotest.matchers.shouldBe
import java.util.Random

private const val WINDOW_MS = 1_000L

class PeerClockTest :
    FunSpec({
        test("the clock of a peer is known from its messages, as far as they prove it") {
            class Message(val peerMs: Long, val arrivedMs: Long)

            class Case(val name: String, val messages: List<Message>, val askedMs: Long, val expectedMs: Long?)
            listOf(
                Case("no message", emptyList(), askedMs = 100, expectedMs = null),
                Case("one message", listOf(Message(70_000, 100)), askedMs = 150, expectedMs = 70_050),
                Case("a message that was sooner here than another", listOf(Message(70_000, 400), Message(70_500, 510)), 600, 70_590),
                Case("a message that waited after another", listOf(Message(70_000, 100), Message(70_100, 900)), 900, 70_800),
                Case("a time before the message", listOf(Message(70_000, 100)), askedMs = 40, expectedMs = 69_940),
                Case("a clock that is behind", listOf(Message(100, 70_000)), askedMs = 70_100, expectedMs = 200),
                Case("a proof of the window before", listOf(Message(70_000, 100), Message(71_000, 1_300)), 1_300, 71_200),
                Case("a proof that is too old", listOf(Message(70_000, 100), Message(72_000, 2_400)), 2_400, 72_000),
                Case("no proof since long ago", listOf(Message(70_000, 100)), askedMs = 9_000, expectedMs = null),
            ).forEach { case ->
                val clock = PeerClock(WINDOW_MS)
                case.messages.forEach { clock.note(it.peerMs, it.arrivedMs) }
                withClue(case.name) { clock.earliestMs(case.askedMs) shouldBe case.expectedMs }
            }
        }

        test("the proved time is never after the true one, however long the messages waited") {
            val random = Random(54)
            repeat(200) {
                val clock = PeerClock(WINDOW_MS)
                val differenceMs = random.nextInt(200_000) - 100_000L
                var nowMs = 0L
                repeat(100) {
                    nowMs += random.nextInt(300)
                    val wayMs = if (random.nextInt(3) == 0) random.nextInt(900) else random.nextInt(5)
                    clock.note(nowMs - wayMs + differenceMs, nowMs)
                    val askedMs = nowMs + random.nextInt(50)
                    clock.earliestMs(askedMs)!! shouldBeLessThanOrEqual askedMs + differenceMs
                }
            }
        }

        test("a clock that was suspended is known again after its proofs are forgotten") {
            val clock = PeerClock(WINDOW_MS)
            clock.note(peerMs = 70_000, arrivedMs = 100)
            clock.reset()
            clock.earliestMs(200) shouldBe null
            clock.note(peerMs = 70_100, arrivedMs = 600)
            clock.earliestMs(600) shouldBe 70_100
        }
    })
