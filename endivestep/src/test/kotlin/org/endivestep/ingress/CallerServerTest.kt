package org.endivestep.ingress

import io.kotest.assertions.withClue
import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.shouldBe
import io.kotest.matchers.string.shouldContain
import io.kotest.matchers.string.shouldEndWith
import io.kotest.matchers.string.shouldNotEndWith
import io.kotest.matchers.string.shouldStartWith
import org.eclipse.jetty.server.ServerConnector
import org.http4k.core.HttpHandler
import org.http4k.core.Response
import org.http4k.core.Status
import java.io.ByteArrayInputStream
import java.io.IOException
import java.io.InputStream
import java.net.Socket

private const val LAST_CHUNK = "0\r\n\r\n"

private fun exchange(handler: HttpHandler, request: String): String {
    val server = callerServer("127.0.0.1", 0, 16, handler)
    server.start()
    try {
        val port = (server.connectors.first() as ServerConnector).localPort
        Socket("127.0.0.1", port).use { socket ->
            socket.soTimeout = 10_000
            socket.getOutputStream().write(request.toByteArray())
            return socket.getInputStream().readAllBytes().decodeToString()
        }
    } finally {
        server.stop()
    }
}

private fun get(extra: String = "") = "GET / HTTP/1.1\r\nHost: a\r\nConnection: close\r\n$extra\r\n"

private class FailingStream(private val bytes: Int) : InputStream() {
    private var sent = 0

    override fun read(): Int {
        if (sent++ < bytes) return 'x'.code
        throw IOException("cut by the test")
    }
}

private class PortionedStream(private var left: Int, private val portion: Int) : InputStream() {
    override fun read(): Int = if (left-- > 0) 'x'.code else -1

    override fun read(target: ByteArray, start: Int, count: Int): Int {
        if (left <= 0) return -1
        val taken = minOf(left, portion, count)
        target.fill('x'.code.toByte(), start, start + taken)
        left -= taken
        return taken
    }
}

class CallerServerTest :
    FunSpec({
        test("a complete response ends with the last chunk") {
            exchange({ Response(Status.OK).body(ByteArrayInputStream(ByteArray(40_000) { 'x'.code.toByte() })) }, get()) shouldEndWith
                LAST_CHUNK
        }

        test("a response of any length arrives complete, whatever the sizes of its reads") {
            for (length in listOf(0, 1, 16_383, 16_384, 16_385, 40_000)) {
                for (portion in listOf(1, 7_000, 100_000)) {
                    for (stated in listOf(true, false)) {
                        val response = Response(Status.OK).body(PortionedStream(length, portion), length.toLong().takeIf { stated })
                        val text = exchange({ if (stated) response.header("Content-Length", "$length") else response }, get())
                        withClue("$length bytes in portions of $portion, length stated: $stated") {
                            text.substringAfter("\r\n\r\n").count { it == 'x' } shouldBe length
                            text.endsWith(LAST_CHUNK) shouldBe !stated
                        }
                    }
                }
            }
        }

        test("a truncated response never looks complete") {
            listOf(1, 100, 16_384, 16_385, 40_000).forEach { bytes ->
                val text = exchange({ Response(Status.OK).body(FailingStream(bytes)) }, get())
                withClue("cut after $bytes") { text shouldNotEndWith LAST_CHUNK }
                withClue("cut after $bytes") { text.contains("Content-Length: $bytes\r\n") shouldBe false }
            }
        }

        test("header values with commas are not split") {
            val date = "Fri, 04 Dec 2026 05:37:12 GMT"
            val text =
                exchange({ Response(Status.OK).body(it.headerValues("If-Modified-Since").toString()) }, get("If-Modified-Since: $date\r\n"))
            text shouldContain "[$date]"
        }

        test("invalid requests are refused") {
            data class Case(val name: String, val request: String, val status: String)
            listOf(
                Case("headers too large", get("X: " + "x".repeat(20_000) + "\r\n"), "HTTP/1.1 431"),
                Case("malformed", "GET\r\n\r\n", "HTTP/1.1 400"),
                Case("unknown method", "BREW / HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n", "HTTP/1.1 405"),
                Case("unsupported version", "GET / HTTP/1.0\r\n\r\n", "HTTP/1.1 505"),
                Case("duplicate length", "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 1\r\nContent-Length: 2\r\n\r\nx", "HTTP/1.1 400"),
            ).forEach { case ->
                withClue(case.name) { exchange({ Response(Status.OK) }, case.request) shouldStartWith case.status }
            }
        }
    })
