package org.endivestep.egress

import io.kotest.assertions.withClue
import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.longs.shouldBeLessThan
import io.kotest.matchers.shouldBe
import org.endivestep.exchange.MessageHeaders
import org.endivestep.exchange.monotonicMs
import org.endivestep.fakes.WorkerCallFixture
import org.endivestep.fakes.scriptedWorker
import org.endivestep.fakes.workerRequest
import org.endivestep.identity.RequestId
import org.endivestep.outcome.AnswerHead
import org.endivestep.outcome.HeaderField

private val signed = MessageHeaders("Id", "Deadline", "Caller", "Expect", "Retry-After", signature = "Signature")
private val unsigned = MessageHeaders("Id", "Deadline", "Caller", "Expect", "Retry-After")

private const val REMAINING_MS = 10_000L

private fun describe(attribution: AnswerAttribution): String =
    when (attribution) {
        AnswerAttribution.Own -> "own"
        AnswerAttribution.OtherRequest -> "other"
        is AnswerAttribution.Unproved -> "unproved"
    }

class AnswerAttributionTest :
    FunSpec({
        // Guards against a success at the caller that no worker gave.
        test("an answer belongs to a request only if it proves so") {
            class Case(val status: Int, val fields: List<Pair<String, String>>, val whereSigned: String, val whereUnsigned: String)
            listOf(
                Case(200, listOf("Id" to "1", "Signature" to "s"), "own", "own"),
                Case(200, listOf("id" to " 1 ", "SIGNATURE" to "s"), "own", "own"),
                Case(200, listOf("Id" to "1"), "unproved", "own"),
                Case(200, listOf("Id" to "1", "Signature" to " "), "unproved", "own"),
                Case(201, listOf("Id" to "1"), "unproved", "own"),
                Case(204, listOf("Id" to "1"), "unproved", "own"),
                Case(206, listOf("Id" to "1"), "unproved", "own"),
                Case(200, listOf("Signature" to "s"), "unproved", "unproved"),
                Case(200, listOf("Id" to "", "Signature" to "s"), "unproved", "unproved"),
                Case(200, emptyList(), "unproved", "unproved"),
                Case(500, emptyList(), "unproved", "unproved"),
                Case(503, listOf("Refused" to "1"), "unproved", "unproved"),
                Case(304, listOf("Id" to "1"), "own", "own"),
                Case(421, listOf("Id" to "1"), "own", "own"),
                Case(500, listOf("Id" to "1"), "own", "own"),
                Case(200, listOf("Id" to "2", "Signature" to "s"), "other", "other"),
                Case(200, listOf("Id" to "2"), "other", "other"),
                Case(503, listOf("Id" to "2"), "other", "other"),
                Case(200, listOf("Id" to "1", "Id" to "2", "Signature" to "s"), "unproved", "unproved"),
                Case(200, listOf("Id" to "2", "Id" to "1", "Signature" to "s"), "unproved", "unproved"),
            ).forEach { case ->
                val head = AnswerHead(case.status, case.fields.map { HeaderField(it.first, it.second) })
                withClue("$head") {
                    describe(attributionOf(RequestId("1"), head, signed)) shouldBe case.whereSigned
                    describe(attributionOf(RequestId("1"), head, unsigned)) shouldBe case.whereUnsigned
                }
            }
        }

        // Guards against a request that is held until its deadline by a message that cannot be its answer.
        test("a message that is no answer ends the attempt at once, even if its connection stays open") {
            scriptedWorker(listOf("HTTP/1.1 200 OK\r\nno answer at all\r\n\r\n")) { awaitClose() }.use { worker ->
                WorkerCallFixture().use { fixture ->
                    val startMs = monotonicMs()
                    fixture.send(worker.address, workerRequest("1", remainingMs = REMAINING_MS)) shouldBe "failed"
                    (monotonicMs() - startMs) shouldBeLessThan REMAINING_MS / 2
                }
            }
        }
    })
