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
import org.endivestep.http.HttpConnectionPool
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

/** A worker that sends the next of [answers] verbatim for each request on a connection, and then runs [afterwards]. */
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

private fun <T> withCall(address: Address, use: (send: (AttemptRequest) -> String) -> T): T {
    val loops = NioEventLoopGroup(1)
    try {
        val call = nettyWorkerCall(HttpConnectionPool(loops, connectTimeoutMs = 500), headers)
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
        val keepOpen: (Socket) -> Unit = { Thread.sleep(5_000) }

        test("each answer of a worker gives the expected result") {
            class Case(val name: String, val answers: List<String>, val afterwards: (Socket) -> Unit, val expected: String)
            listOf(
                Case("a complete answer", listOf(answer("1", "whole")), keepOpen, "200 whole"),
                Case("an answer to another request before it", listOf(answer("0", "other") + answer("1", "mine")), keepOpen, "200 mine"),
                Case("only an answer to another request", listOf(answer("0", "other")), close, "failed"),
                Case("a truncated answer", listOf(answer("1", "whole").dropLast(2)), close, "failed"),
                Case("an answer that ends with its connection", listOf("HTTP/1.1 200 OK\r\nId: 1\r\n\r\nopen end"), close, "200 open end"),
                Case("an answer whose connection is reset", listOf("HTTP/1.1 200 OK\r\nId: 1\r\n\r\nopen end"), reset, "failed"),
                Case("bytes that are not a valid answer", listOf("\u0001\u0002 nonsense\r\n\r\n"), keepOpen, "failed"),
                Case("a closed connection", listOf(""), close, "failed"),
            ).forEach { case ->
                ScriptedWorker(case.answers, case.afterwards).use { worker ->
                    withClue(case.name) { withCall(worker.address) { send -> send(request("1")) } shouldBe case.expected }
                }
            }
        }

        test("a duplicate answer is not taken as the answer to the next request") {
            ScriptedWorker(listOf(answer("1", "first") + answer("1", "again"), answer("2", "second")), keepOpen).use { worker ->
                withCall(worker.address) { send ->
                    send(request("1")) shouldBe "200 first"
                    Thread.sleep(100)
                    // The connection was closed when the duplicate arrived, so the next request uses a new connection.
                    send(request("1")) shouldBe "200 first"
                }
            }
        }

        test("a request to a worker that does not respond times out at the deadline, not before") {
            ScriptedWorker(listOf(""), keepOpen).use { worker ->
                val startMs = monotonicMs()
                withCall(worker.address) { send -> send(request("1", remainingMs = 200)) } shouldBe "timed out"
                (monotonicMs() - startMs in 190..1_500) shouldBe true
            }
        }

        test("a request to a port where nothing listens is not sent") {
            val port = ServerSocket(0).use { it.localPort }
            withCall(Address("127.0.0.1", port)) { send -> send(request("1")) } shouldBe "not sent"
        }
    })
