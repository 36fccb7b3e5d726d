package org.endivestep.egress

import io.kotest.assertions.withClue
import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.shouldBe
import io.netty.channel.nio.NioEventLoopGroup
import org.endivestep.exchange.AttemptRequest
import org.endivestep.exchange.Deadline
import org.endivestep.exchange.MessageHeaders
import org.endivestep.exchange.RequestBody
import org.endivestep.exchange.monotonicMs
import org.endivestep.http.HttpConnections
import org.endivestep.identity.AttemptId
import org.endivestep.identity.Fingerprint
import org.endivestep.identity.KindName
import org.endivestep.identity.RequestId
import org.endivestep.identity.ServiceName
import org.endivestep.identity.WorkerIncarnation
import org.endivestep.settings.Address
import java.net.InetAddress
import java.net.ServerSocket
import java.net.Socket
import java.util.concurrent.TimeUnit
import kotlin.concurrent.thread

private val headers = MessageHeaders("Id", "Deadline", "Caller", "Expect", "Retry-After")

/** A worker that answers each request on a connection with the next of [answers], byte for byte, and then does [afterwards]. */
private class ScriptedWorker(private val answers: List<String>, private val afterwards: (Socket) -> Unit) : AutoCloseable {
    private val server = ServerSocket(0, 10, InetAddress.getLoopbackAddress())
    val address = Address("127.0.0.1", server.localPort)

    @Volatile
    var connections = 0

    init {
        thread(isDaemon = true) { while (!server.isClosed) runCatching { serve(server.accept()) } }
    }

    private fun serve(socket: Socket) {
        connections++
        thread(isDaemon = true) {
            val reader = socket.getInputStream().bufferedReader()
            answers.forEach { answer ->
                while (!reader.readLine().isNullOrEmpty()) Unit
                socket.getOutputStream().write(answer.toByteArray())
                socket.getOutputStream().flush()
            }
            afterwards(socket)
        }
    }

    override fun close() = server.close()
}

private fun answer(id: String, body: String) = "HTTP/1.1 200 OK\r\nId: $id\r\nContent-Length: ${body.length}\r\n\r\n$body"

private fun request(id: String, remainingMs: Long = 2_000) =
    AttemptRequest(
        requestId = RequestId(id),
        attemptId = AttemptId("attempt-$id"),
        service = ServiceName("s"),
        kind = KindName("read"),
        method = "GET",
        path = "/a/1",
        headers = emptyList(),
        body = RequestBody.Inline(ByteArray(0)),
        deadline = Deadline(monotonicMs() + remainingMs),
        fingerprint = Fingerprint("print"),
    )

private fun describe(result: WorkerResult): String =
    when (result) {
        is WorkerResult.Answered -> "${result.head.status} ${result.body.readBytes().decodeToString()}"
        is WorkerResult.Failed -> if (result.timedOut) "timed out" else "failed"
        is WorkerResult.NotSent -> "not sent"
        WorkerResult.Cancelled -> "cancelled"
    }

private fun <T> withCall(address: Address, use: (ask: (AttemptRequest) -> String) -> T): T {
    val loops = NioEventLoopGroup(1)
    try {
        val call = nettyWorkerCall(HttpConnections(loops, connectTimeoutMs = 500), headers)
        val announcement = Announcement(ServiceName("s"), address, WorkerIncarnation("w"), leaving = false)
        return use { describe(call(LocalWorker(announcement, WorkerPhase.SERVING), it)) }
    } finally {
        loops.shutdownGracefully(0, 1, TimeUnit.SECONDS)
    }
}

class NettyWorkerCallTest :
    FunSpec({
        val close: (Socket) -> Unit = { it.close() }
        val reset: (Socket) -> Unit = { socket ->
            socket.setSoLinger(true, 0)
            socket.close()
        }
        val stay: (Socket) -> Unit = { Thread.sleep(5_000) }

        test("each answer of a worker is read as what it is") {
            class Case(val name: String, val answers: List<String>, val afterwards: (Socket) -> Unit, val read: String)
            listOf(
                Case("a whole answer", listOf(answer("1", "whole")), stay, "200 whole"),
                Case("an answer of another request before it", listOf(answer("0", "other") + answer("1", "mine")), stay, "200 mine"),
                Case("only an answer of another request", listOf(answer("0", "other")), close, "failed"),
                Case("an answer that is cut", listOf(answer("1", "whole").dropLast(2)), close, "failed"),
                Case("an answer that ends with its connection", listOf("HTTP/1.1 200 OK\r\nId: 1\r\n\r\nopen end"), close, "200 open end"),
                Case("one whose connection is reset", listOf("HTTP/1.1 200 OK\r\nId: 1\r\n\r\nopen end"), reset, "failed"),
                Case("bytes that are no answer", listOf("\u0001\u0002 nonsense\r\n\r\n"), stay, "failed"),
                Case("a closed connection", listOf(""), close, "failed"),
            ).forEach { case ->
                ScriptedWorker(case.answers, case.afterwards).use { worker ->
                    withClue(case.name) { withCall(worker.address) { ask -> ask(request("1")) } shouldBe case.read }
                }
            }
        }

        test("a second answer that comes later does not become the answer to the next request") {
            ScriptedWorker(listOf(answer("1", "first") + answer("1", "again"), answer("2", "second")), stay).use { worker ->
                withCall(worker.address) { ask ->
                    ask(request("1")) shouldBe "200 first"
                    Thread.sleep(100)
                    // The connection was closed at the second answer, so the next request has another one.
                    ask(request("1")) shouldBe "200 first"
                }
            }
        }

        test("a worker that is silent is given up at the deadline, not before") {
            ScriptedWorker(listOf(""), stay).use { worker ->
                val startMs = monotonicMs()
                withCall(worker.address) { ask -> ask(request("1", remainingMs = 200)) } shouldBe "timed out"
                (monotonicMs() - startMs in 190..1_500) shouldBe true
            }
        }

        test("a worker that nobody listens for was not sent anything") {
            val port = ServerSocket(0).use { it.localPort }
            withCall(Address("127.0.0.1", port)) { ask -> ask(request("1")) } shouldBe "not sent"
        }
    })
