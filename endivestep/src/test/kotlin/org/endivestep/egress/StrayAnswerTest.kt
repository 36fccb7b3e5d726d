package org.endivestep.egress

import io.kotest.assertions.withClue
import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.shouldBe
import org.endivestep.fakes.AnswerFraming
import org.endivestep.fakes.ScriptedWorker
import org.endivestep.fakes.WorkerCallFixture
import org.endivestep.fakes.answerText
import org.endivestep.fakes.scriptedWorker
import org.endivestep.fakes.workerRequest

private const val INTERIM = "HTTP/1.1 102 Processing\r\n\r\n"

private val keptOpen = listOf(AnswerFraming.LENGTH, AnswerFraming.CHUNKS)

/**
 * Returns a worker whose first connection carries the first [split] characters of [stray] directly behind the first answer, and the rest
 * in front of the second one. Its other connections carry the second answer.
 */
private fun strayingWorker(first: String, stray: String, split: Int, second: String) =
    ScriptedWorker {
        readRequest()
        if (number == 1) {
            send(first + stray.take(split))
            readRequest()
            send(stray.drop(split) + second)
        } else {
            send(second)
        }
        awaitClose()
    }

class StrayAnswerTest :
    FunSpec({
        test("a second copy of an answer, split at any byte around the next request, is not taken as the next answer") {
            WorkerCallFixture().use { fixture ->
                for (framing in keptOpen) {
                    for (interim in listOf("", INTERIM)) {
                        val first = answerText("1", "first", framing)
                        val copy = interim + first
                        val second = answerText("2", "second", framing)
                        for (split in 0..copy.length) {
                            strayingWorker(first, copy, split, second).use { worker ->
                                withClue("$framing, split at $split, \"$interim\" before it") {
                                    fixture.send(worker.address, workerRequest("1")) shouldBe "200 first"
                                    fixture.send(worker.address, workerRequest("2")) shouldBe "200 second"
                                }
                            }
                        }
                    }
                }
            }
        }

        // Guards against bytes that came before a request was sent being taken as the start of its answer.
        test("an answer without an id that begins before the next request is sent is not taken as the next answer") {
            WorkerCallFixture().use { fixture ->
                val wrong = mutableListOf<String>()
                for (framing in keptOpen) {
                    for (interim in listOf("", INTERIM)) {
                        val stray = interim + answerText(null, "stray", framing)
                        for (split in 1..stray.length) {
                            strayingWorker(answerText("1", "first"), stray, split, answerText("2", "second")).use { worker ->
                                fixture.send(worker.address, workerRequest("1")) shouldBe "200 first"
                                val result = fixture.send(worker.address, workerRequest("2"))
                                if (result != "200 second") wrong += "$framing, split at $split, \"${interim.trim()}\" before it: $result"
                            }
                        }
                    }
                }
                wrong shouldBe emptyList()
            }
        }

        // Guards against the late true answer reaching another exchange on a connection whose last answer named no request.
        test("a connection is not used again after an answer without an id") {
            WorkerCallFixture().use { fixture ->
                scriptedWorker(listOf(answerText(null, "unnamed")), { awaitClose() }).use { worker ->
                    repeat(2) { fixture.send(worker.address, workerRequest("$it")) }
                    worker.connections shouldBe 2
                }
            }
        }

        // Guards against the body of one answer being read as the head of another, since an answer to HEAD states a length without a body.
        test("answers to HEAD and copies of other answers are not taken for parts of one another") {
            val smuggled = answerText("2", "smuggled")
            val headOfOwn = answerText("2", smuggled).removeSuffix(smuggled)
            class Case(val name: String, val methods: List<String>, val first: String, val own: String)
            listOf(
                Case(
                    "a copy of an answer with a body before an answer to HEAD",
                    listOf("GET", "HEAD"),
                    answerText("1", smuggled),
                    headOfOwn,
                ),
                Case(
                    "a copy of an answer to HEAD before an answer with a body",
                    listOf("HEAD", "GET"),
                    answerText("1", "x".repeat(headOfOwn.length)).substringBefore("x"),
                    headOfOwn + smuggled,
                ),
            ).forEach { case ->
                WorkerCallFixture().use { fixture ->
                    strayingWorker(case.first, case.first, 0, case.own).use { worker ->
                        fixture.send(worker.address, workerRequest("1", method = case.methods[0]))
                        val result = fixture.send(worker.address, workerRequest("2", method = case.methods[1], remainingMs = 500))
                        val own = "200 " + case.own.removePrefix(headOfOwn)
                        withClue("${case.name}: $result") { (result in setOf(own, "failed", "truncated", "timed out")) shouldBe true }
                    }
                }
            }
        }
    })
