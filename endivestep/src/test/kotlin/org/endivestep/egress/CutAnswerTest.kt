package org.endivestep.egress

import io.kotest.assertions.withClue
import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.shouldBe
import org.endivestep.exchange.RequestBody
import org.endivestep.fakes.AnswerFraming
import org.endivestep.fakes.ScriptedWorker
import org.endivestep.fakes.WorkerCallFixture
import org.endivestep.fakes.answerText
import org.endivestep.fakes.scriptedWorker
import org.endivestep.fakes.workerRequest
import java.io.InputStream
import java.util.concurrent.CountDownLatch
import java.util.concurrent.TimeUnit

private const val BODY = "the whole body"

private val failures = setOf("failed", "truncated")

/** A request body of two parts; [beforeSecond] runs before the second one is read. */
private class TwoPartBody(private val beforeSecond: () -> Unit) : InputStream() {
    private var parts = 0

    override fun read(): Int = throw UnsupportedOperationException("the body is read in parts")

    override fun read(target: ByteArray, start: Int, count: Int): Int {
        parts++
        if (parts == 2) beforeSecond()
        return if (parts <= 2) PART_BYTES.coerceAtMost(count) else -1
    }

    companion object {
        const val PART_BYTES = 1_000
    }
}

class CutAnswerTest :
    FunSpec({
        test("an answer that arrives in two parts, split at any byte, is whole") {
            WorkerCallFixture().use { fixture ->
                AnswerFraming.entries.forEach { framing ->
                    val whole = "HTTP/1.1 102 Processing\r\n\r\n" + answerText("1", BODY, framing)
                    for (split in 1 until whole.length) {
                        ScriptedWorker {
                            readRequest()
                            send(whole.take(split))
                            Thread.sleep(1)
                            send(whole.drop(split))
                        }.use { worker ->
                            withClue("$framing, split at $split") { fixture.send(worker.address, workerRequest("1")) shouldBe "200 $BODY" }
                        }
                    }
                }
            }
        }

        test("an answer that is cut off at any byte is never complete, unless its head says that the end of the connection ends it") {
            WorkerCallFixture().use { fixture ->
                AnswerFraming.entries.forEach { framing ->
                    val whole = answerText("1", BODY, framing)
                    val headLength = whole.indexOf("\r\n\r\n") + 4
                    for (cut in 0 until whole.length) {
                        val completes = framing == AnswerFraming.CONNECTION_END && cut >= headLength
                        val afterFin = scriptedWorker(listOf(whole.take(cut))) { }.use { fixture.send(it.address, workerRequest("1")) }
                        withClue("$framing, cut off at $cut by the end of the connection: $afterFin") {
                            (if (completes) afterFin == "200 ${whole.substring(headLength, cut)}" else afterFin in failures) shouldBe true
                        }
                        val afterReset =
                            scriptedWorker(listOf(whole.take(cut))) {
                                // The peer reads what was sent before the reset, as a system may discard it at the reset.
                                Thread.sleep(1)
                                reset()
                            }.use { fixture.send(it.address, workerRequest("1")) }
                        withClue("$framing, cut off at $cut by a reset: $afterReset") { (afterReset in failures) shouldBe true }
                    }
                }
            }
        }

        // Guards against a reset that is first noticed by a write being taken as the end of the connection, which completes the answer.
        test("an answer without a length is not complete when sending the rest of the request body finds the connection reset") {
            WorkerCallFixture().use { fixture ->
                val answered = CountDownLatch(1)
                val resetNow = CountDownLatch(1)
                ScriptedWorker {
                    readRequest()
                    read(1)
                    send(answerText("1", "the first half", AnswerFraming.CONNECTION_END))
                    answered.countDown()
                    resetNow.await(5, TimeUnit.SECONDS)
                    reset()
                }.use { worker ->
                    val body =
                        TwoPartBody {
                            answered.await(5, TimeUnit.SECONDS)
                            Thread.sleep(200)
                            // The write of the second part is queued behind this task, so it precedes the next read.
                            fixture.loops.execute {
                                resetNow.countDown()
                                Thread.sleep(300)
                            }
                        }
                    val streamed = RequestBody.Streamed(body, 2L * TwoPartBody.PART_BYTES)
                    val result = fixture.send(worker.address, workerRequest("1", method = "POST", body = streamed))
                    withClue(result) { (result in failures) shouldBe true }
                }
            }
        }
    })
