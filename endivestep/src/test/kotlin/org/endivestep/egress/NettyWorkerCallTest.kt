package org.endivestep.egress

import io.kotest.assertions.withClue
import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.shouldBe
import org.endivestep.exchange.AttemptRequest
import org.endivestep.exchange.RequestBody
import org.endivestep.exchange.monotonicMs
import org.endivestep.fakes.ScriptedWorker
import org.endivestep.fakes.WorkerCallFixture
import org.endivestep.fakes.WorkerConnection
import org.endivestep.fakes.answerText
import org.endivestep.fakes.scriptedWorker
import org.endivestep.fakes.workerRequest
import org.endivestep.ingress.BodyQueue
import org.endivestep.settings.Address
import java.io.InputStream
import java.net.InetAddress
import java.net.ServerSocket
import java.net.Socket
import java.util.concurrent.CountDownLatch
import java.util.concurrent.TimeUnit
import kotlin.concurrent.thread

/** A worker that answers each request with [start] and then sends [endless] until the connection is closed. */
private class EndlessWorker(private val start: String, private val endless: String) : AutoCloseable {
    private val server = ServerSocket(0, 10, InetAddress.getLoopbackAddress())
    val address = Address("127.0.0.1", server.localPort)
    val closedByPeer = CountDownLatch(1)

    init {
        thread(isDaemon = true) { while (!server.isClosed) runCatching { serve(server.accept()) } }
    }

    private fun serve(socket: Socket) {
        thread(isDaemon = true) {
            val reader = socket.getInputStream().bufferedReader()
            while (!reader.readLine().isNullOrEmpty()) Unit
            runCatching {
                socket.getOutputStream().write(start.toByteArray())
                val bytes = endless.toByteArray()
                while (true) socket.getOutputStream().write(bytes)
            }
            closedByPeer.countDown()
        }
    }

    override fun close() = server.close()
}

private const val DEADLINE_MS = 1_500L
private const val NOT_READING_MS = 2_000L

private fun <T> withCall(address: Address, use: (send: (AttemptRequest) -> String) -> T): T =
    WorkerCallFixture().use { fixture -> use { fixture.send(address, it) } }

class NettyWorkerCallTest :
    FunSpec({
        val close: WorkerConnection.() -> Unit = { }
        val reset: WorkerConnection.() -> Unit = { reset() }
        val keepOpen: WorkerConnection.() -> Unit = { awaitClose() }

        test("each answer of a worker gives the expected result") {
            class Case(val name: String, val answers: List<String>, val afterwards: WorkerConnection.() -> Unit, val expected: String)
            listOf(
                Case("a complete answer", listOf(answerText("1", "whole")), keepOpen, "200 whole"),
                Case(
                    "an answer to another request before it",
                    listOf(answerText("0", "other") + answerText("1", "mine")),
                    keepOpen,
                    "200 mine",
                ),
                Case("only an answer to another request", listOf(answerText("0", "other")), close, "failed"),
                Case("a truncated answer", listOf(answerText("1", "whole").dropLast(2)), close, "failed"),
                Case("an answer that ends with its connection", listOf("HTTP/1.1 200 OK\r\nId: 1\r\n\r\nopen end"), close, "200 open end"),
                Case("an answer whose connection is reset", listOf("HTTP/1.1 200 OK\r\nId: 1\r\n\r\nopen end"), reset, "failed"),
                Case("bytes that are not a valid answer", listOf("\u0001\u0002 nonsense\r\n\r\n"), keepOpen, "failed"),
                Case("a closed connection", listOf(""), close, "failed"),
            ).forEach { case ->
                scriptedWorker(case.answers, case.afterwards).use { worker ->
                    withClue(case.name) { withCall(worker.address) { send -> send(workerRequest("1")) } shouldBe case.expected }
                }
            }
        }

        test("a duplicate answer is not taken as the answer to the next request") {
            scriptedWorker(listOf(answerText("1", "first") + answerText("1", "again"), answerText("2", "second")), keepOpen).use { worker ->
                withCall(worker.address) { send ->
                    send(workerRequest("1")) shouldBe "200 first"
                    Thread.sleep(100)
                    // The connection was closed when the duplicate arrived, so the next request uses a new connection.
                    send(workerRequest("1")) shouldBe "200 first"
                }
            }
        }

        test("a request to a worker that does not respond times out at the deadline, not before") {
            scriptedWorker(listOf(""), keepOpen).use { worker ->
                val startMs = monotonicMs()
                withCall(worker.address) { send -> send(workerRequest("1", remainingMs = 200)) } shouldBe "timed out"
                (monotonicMs() - startMs in 190..1_500) shouldBe true
            }
        }

        // Guards against an answer that is given up before its deadline, because when the request was sent is not exactly known (issue 57).
        test("an answer is awaited while the deadline may not have passed") {
            val script: WorkerConnection.() -> Unit = {
                val id = readRequest()
                Thread.sleep(500)
                send(answerText(id, "late"))
                awaitClose()
            }
            ScriptedWorker(script = script).use { worker ->
                val request = workerRequest("1", remainingMs = 200, answerRemainingMs = 2_000)
                withCall(worker.address) { send -> send(request) } shouldBe "200 late"
            }
        }

        // Guards against an upload that is never answered, because its worker or its caller has stopped while the body is sent.
        test("a request whose body is not sent by the deadline times out, whichever side holds it up") {
            class Case(val name: String, val body: RequestBody.Streamed)
            val endless =
                object : InputStream() {
                    override fun read(): Int = 'x'.code

                    override fun read(target: ByteArray, start: Int, count: Int): Int = count
                }
            val begun = BodyQueue()
            begun.put(ByteArray(9), ended = false)
            listOf(
                Case("a worker that does not read", RequestBody.Streamed(endless, -1)),
                Case("a caller that sends nothing more", RequestBody.Streamed(begun, -1)),
                Case("a caller that sends nothing", RequestBody.Streamed(BodyQueue(), 100)),
            ).forEach { case ->
                scriptedWorker(listOf("")) { Thread.sleep(NOT_READING_MS) }.use { worker ->
                    val startMs = monotonicMs()
                    val upload = workerRequest("1", remainingMs = 300, method = "POST", body = case.body)
                    withClue(case.name) {
                        withCall(worker.address) { send -> send(upload) } shouldBe "timed out"
                        (monotonicMs() - startMs in 290..1_500) shouldBe true
                    }
                }
            }
        }

        test("a request to a port where nothing listens is not sent") {
            val port = ServerSocket(0).use { it.localPort }
            withCall(Address("127.0.0.1", port)) { send -> send(workerRequest("1")) } shouldBe "not sent"
        }

        test("a worker that never stops sending is given up at a bound, and its connection is closed") {
            class Case(val name: String, val start: String, val endless: String, val expected: String, val beforeDeadline: Boolean)
            val head = "HTTP/1.1 200 OK\r\nId: 1\r\n"
            val filler = "z".repeat(1_000)
            listOf(
                Case("a head", head, "X-Filler: $filler\r\n", "failed", beforeDeadline = true),
                Case("a line", "HTTP/1.1 200 ", filler, "failed", beforeDeadline = true),
                Case("bytes that are not an answer", "", "$filler\r\n", "failed", beforeDeadline = true),
                Case("interim answers", "", "HTTP/1.1 102 Processing\r\n\r\n", "failed", beforeDeadline = true),
                Case("answers to other requests", "", answerText("0", filler), "failed", beforeDeadline = true),
                Case(
                    "an answer to another request",
                    "HTTP/1.1 200 OK\r\nId: 0\r\nTransfer-Encoding: chunked\r\n\r\n",
                    "3e8\r\n$filler\r\n",
                    "failed",
                    beforeDeadline = true,
                ),
                Case("bytes after an answer", answerText("1", "whole"), filler, "200 whole", beforeDeadline = true),
                Case("a body where none may be", "HTTP/1.1 204 No Content\r\nId: 1\r\n\r\n", filler, "204 ", beforeDeadline = true),
                Case("a chunked body", "${head}Transfer-Encoding: chunked\r\n\r\n", "3e8\r\n$filler\r\n", "truncated", false),
                Case("chunks of one byte", "${head}Transfer-Encoding: chunked\r\n\r\n", "1\r\nz\r\n".repeat(100), "timed out", false),
                Case("a body without a length", "$head\r\n", filler, "truncated", beforeDeadline = false),
                Case("a chunk extension", "${head}Transfer-Encoding: chunked\r\n\r\n3e8;x=", filler, "failed", beforeDeadline = true),
                Case("trailers", "${head}Transfer-Encoding: chunked\r\n\r\n0\r\n", "X-Filler: $filler\r\n", "failed", true),
            ).forEach { case ->
                val worker = EndlessWorker(case.start, case.endless)
                worker.use {
                    withClue(case.name) {
                        val startMs = monotonicMs()
                        withCall(worker.address) { send -> send(workerRequest("1", remainingMs = DEADLINE_MS)) } shouldBe case.expected
                        val tookMs = monotonicMs() - startMs
                        withClue("took $tookMs ms") {
                            (tookMs < if (case.beforeDeadline) DEADLINE_MS else DEADLINE_MS + 500) shouldBe true
                        }
                        worker.closedByPeer.await(1, TimeUnit.SECONDS) shouldBe true
                    }
                }
            }
        }

        test("an answer that is cut off at any point is never complete, whatever its framing") {
            class Framing(val name: String, val head: String, val encode: (String) -> String)
            val framings =
                listOf(
                    Framing("length", "Content-Length: 200000\r\n") { it },
                    Framing("chunks", "Transfer-Encoding: chunked\r\n") { body ->
                        body.chunked(10_000).joinToString("") { "2710\r\n$it\r\n" } + "0\r\n\r\n"
                    },
                    Framing("end of the connection", "") { it },
                )
            val body = "y".repeat(200_000)
            framings.forEach { framing ->
                val whole = "HTTP/1.1 200 OK\r\nId: 1\r\n${framing.head}\r\n" + framing.encode(body)
                listOf(10, 40, 100, 60_000, 66_000, 150_000, whole.length - 1).forEach { cut ->
                    scriptedWorker(listOf(whole.take(cut)), reset).use { worker ->
                        val result = withCall(worker.address) { send -> send(workerRequest("1")) }
                        withClue("${framing.name} cut off at $cut") { (result == "failed" || result == "truncated") shouldBe true }
                    }
                }
                scriptedWorker(listOf(whole), close).use { worker ->
                    withClue(framing.name) { withCall(worker.address) { send -> send(workerRequest("1")) } shouldBe "200 $body" }
                }
            }
        }

        test("a request whose deadline has passed, or whose caller has left, is not sent by a thread that is late") {
            val fixture = WorkerCallFixture()
            scriptedWorker(listOf(answerText("1", "whole"), answerText("2", "late")), keepOpen).use { worker ->
                fixture.send(worker.address, workerRequest("1")) shouldBe "200 whole"
                fixture.loops.execute { Thread.sleep(600) }
                val caller = thread { runCatching { fixture.send(worker.address, workerRequest("2", remainingMs = 5_000)) } }
                Thread.sleep(50)
                caller.interrupt()
                fixture.send(worker.address, workerRequest("3", remainingMs = 200)) shouldBe "expired"
                Thread.sleep(700)
                worker.requests.toList() shouldBe listOf("1")
            }
            fixture.close()
        }
    })
