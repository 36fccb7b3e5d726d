package org.endivestep.ingress

import io.kotest.assertions.withClue
import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.collections.shouldBeEmpty
import io.kotest.matchers.shouldBe
import org.endivestep.exchange.CallerLease
import org.endivestep.fakes.CallerServerFixture
import java.net.Socket
import java.util.concurrent.CompletableFuture
import java.util.concurrent.ConcurrentLinkedQueue
import java.util.concurrent.CountDownLatch
import java.util.concurrent.TimeUnit

private const val CALLERS = 20

// Long enough for a handler that was started to record its request.
private const val HANDLER_START_MS = 300L

// Long enough for a handler to ask, and shorter than it waits for the answer.
private const val STALL_MS = 100L

private fun reply() = CallerReply(200, emptyList(), "whole".byteInputStream(), 5)

private fun get(path: String) = "GET $path HTTP/1.1\r\nHost: h\r\n\r\n"

private fun post(path: String, bytes: Int) = "POST $path HTTP/1.1\r\nHost: h\r\nContent-Length: $bytes\r\n\r\n${"x".repeat(bytes)}"

class DepartedCallerTest :
    FunSpec({
        // Guards against work for callers that left while the server was too far behind to read their requests.
        test("a request whose caller closed the connection before the server read it does not run") {
            class Case(val name: String, val requests: String, val isKept: Boolean = false)
            listOf(
                Case("a new connection", get("/gone")),
                Case("a connection that carried a request before", get("/gone"), isKept = true),
                Case("a request with a body", post("/gone", bytes = 100)),
                Case("a request with a body of several reads", post("/gone", bytes = 20_000)),
                Case("pipelined requests", get("/gone/1") + get("/gone/2")),
            ).forEach { case ->
                val started = ConcurrentLinkedQueue<String>()
                CallerServerFixture({ request ->
                    started += request.target
                    reply()
                }).use { server ->
                    val kept = if (case.isKept) (1..CALLERS).map { server.connect().also(::exchangeOnce) } else emptyList()
                    val release = CountDownLatch(1)
                    server.stall(release)
                    repeat(CALLERS) { index ->
                        val socket = kept.getOrNull(index) ?: server.connect()
                        socket.getOutputStream().write(case.requests.toByteArray())
                        socket.close()
                    }
                    release.countDown()
                    Thread.sleep(HANDLER_START_MS)
                    withClue(case.name) { started.filter { "gone" in it }.shouldBeEmpty() }
                }
            }
        }

        // Guards against an answer about the caller that is older than its question (issue 54).
        test("a server that is asked whether a caller waits reads first what has come") {
            class Case(val name: String, val leaves: Boolean)
            listOf(Case("a caller that waits", leaves = false), Case("a caller that leaves", leaves = true)).forEach { case ->
                val started = CountDownLatch(1)
                val ask = CountDownLatch(1)
                val renewed = CompletableFuture<Boolean>()
                CallerServerFixture({ request ->
                    started.countDown()
                    // The handler goes on when it is interrupted, as one that lacks processor time does.
                    while (ask.count > 0) runCatching { ask.await() }
                    renewed.complete(runCatching { request.lease.renewIfOld() }.getOrDefault(false))
                    reply()
                }).use { server ->
                    val socket = server.connect()
                    socket.getOutputStream().write(get("/a").toByteArray())
                    started.await()
                    Thread.sleep(CallerLease.DURATION_MS)
                    val release = CountDownLatch(1)
                    server.stall(release)
                    if (case.leaves) socket.close()
                    ask.countDown()
                    Thread.sleep(STALL_MS)
                    release.countDown()
                    withClue(case.name) { renewed.get(5, TimeUnit.SECONDS) shouldBe !case.leaves }
                    socket.close()
                }
            }
        }

        test("a request whose caller still waits runs, however late the server reads it") {
            CallerServerFixture({ reply() }).use { server ->
                val release = CountDownLatch(1)
                server.stall(release)
                val sockets = (1..CALLERS).map { server.connect() }
                sockets.forEach { it.getOutputStream().write(get("/a").toByteArray()) }
                release.countDown()
                sockets.forEach { socket -> socket.use { it.getInputStream().read() shouldBe 'H'.code } }
            }
        }
    })

private fun exchangeOnce(socket: Socket) {
    socket.getOutputStream().write(get("/first").toByteArray())
    socket.getInputStream().readNBytes("HTTP/1.1 200 OK\r\ncontent-length: 5\r\n\r\nwhole".length)
}
