package org.endivestep.ingress

import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.shouldBe
import io.kotest.matchers.string.shouldContain
import io.kotest.matchers.string.shouldNotContain
import io.netty.channel.nio.NioEventLoopGroup
import org.endivestep.document.CallerLimits
import org.endivestep.exchange.RequestBody
import org.endivestep.settings.Address
import java.io.IOException
import java.io.InputStream
import java.net.ServerSocket
import java.net.Socket
import java.net.SocketException
import java.util.concurrent.CountDownLatch
import java.util.concurrent.Executors
import java.util.concurrent.TimeUnit

private class TestServer(handler: RequestHandler, limits: CallerLimits = CallerLimits()) : AutoCloseable {
    private val loops = NioEventLoopGroup(1)
    private val runners = Executors.newCachedThreadPool()
    private val port = ServerSocket(0).use { it.localPort }
    val listener = NettyCallerServer(Address("127.0.0.1", port), loops, runners, { limits }, handler)

    init {
        listener.start()
    }

    fun connect() = Socket("127.0.0.1", port).also { it.soTimeout = 3_000 }

    /** Sends [text] on a new connection. Returns all bytes received until it closes, or only the first byte if not [readToEnd]. */
    fun exchange(text: String, readToEnd: Boolean = true): String =
        connect().use { socket ->
            socket.getOutputStream().write(text.toByteArray())
            if (readToEnd) socket.getInputStream().readBytes().decodeToString() else socket.getInputStream().readNBytes(1).decodeToString()
        }

    override fun close() {
        runners.shutdownNow()
        loops.shutdownGracefully(0, 1, TimeUnit.SECONDS)
    }
}

private const val GET = "GET /a HTTP/1.1\r\nHost: h\r\n"

private fun reply(text: String) = CallerReply(200, emptyList(), text.byteInputStream(), text.length.toLong())

private fun bodyOf(request: CallerRequest): String =
    when (val body = request.body) {
        is RequestBody.Inline -> body.bytes.decodeToString()
        is RequestBody.Streamed -> body.stream.readBytes().decodeToString()
    }

class NettyCallerServerTest :
    FunSpec({
        test("a caller that disconnects interrupts the handler of its request") {
            val began = CountDownLatch(1)
            val interrupted = CountDownLatch(1)
            TestServer({
                began.countDown()
                try {
                    Thread.sleep(10_000)
                } catch (e: InterruptedException) {
                    interrupted.countDown()
                    throw e
                }
                reply("late")
            }).use { server ->
                val socket = server.connect()
                socket.getOutputStream().write("$GET\r\n".toByteArray())
                began.await(3, TimeUnit.SECONDS) shouldBe true
                socket.close()
                interrupted.await(500, TimeUnit.MILLISECONDS) shouldBe true
            }
        }

        test("a response whose body fails never looks complete") {
            class Case(val length: Long?)
            listOf(Case(10), Case(200_000), Case(null)).forEach { case ->
                val broken =
                    object : InputStream() {
                        private var left = 5

                        override fun read(): Int = if (left-- > 0) 'x'.code else throw IOException("cut")
                    }
                TestServer({ CallerReply(200, emptyList(), broken, case.length) }).use { server ->
                    val answer = runCatching { server.exchange("$GET\r\n") }.getOrDefault("")
                    answer shouldNotContain "0\r\n\r\n"
                    (answer.substringAfter("\r\n\r\n", "").length < (case.length ?: Long.MAX_VALUE)) shouldBe true
                }
            }
        }

        test("pipelined requests are answered in order") {
            TestServer({ reply(it.target) }).use { server ->
                val last = "GET /c HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n"
                val answers = server.exchange("$GET\r\nGET /b HTTP/1.1\r\nHost: h\r\n\r\n$last")
                Regex("/[abc]").findAll(answers).map { it.value }.toList() shouldBe listOf("/a", "/b", "/c")
            }
        }

        test("request bodies arrive complete, short and long, with Content-Length and chunked") {
            listOf(0, 10, 100_000, 2_000_000).forEach { size ->
                val body = "y".repeat(size)
                TestServer({ request -> reply("${bodyOf(request).length}") }).use { server ->
                    val head = "POST /a HTTP/1.1\r\nHost: h\r\nConnection: close\r\n"
                    server.exchange("${head}Content-Length: $size\r\n\r\n$body") shouldContain "\r\n\r\n$size"
                    val chunk = if (size == 0) "" else "${size.toString(16)}\r\n$body\r\n"
                    server.exchange("${head}Transfer-Encoding: chunked\r\n\r\n${chunk}0\r\n\r\n") shouldContain "\r\n\r\n$size"
                }
            }
        }

        test("malformed requests and bodies over the limit are refused and the connection is closed") {
            TestServer({ reply("handled") }, CallerLimits(bodyBytes = 10)).use { server ->
                server.exchange("nonsense\r\n\r\n") shouldContain "400"
                server.exchange("POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 11\r\n\r\n") shouldContain "413"
            }
        }

        test("after the listening socket is closed, open connections are served and new ones are refused") {
            TestServer({ reply("served") }).use { server ->
                val open = server.connect()
                open.getOutputStream().write("$GET\r\n".toByteArray())
                open.getInputStream().readNBytes(15).decodeToString() shouldContain "200"
                server.listener.stopListening(1_000)
                runCatching { server.connect().use { it.getInputStream().read() } }.exceptionOrNull().let {
                    (it is SocketException) shouldBe
                        true
                }
                open.getOutputStream().write("$GET\r\n".toByteArray())
                (open.getInputStream().readNBytes(15).size) shouldBe 15
            }
        }
    })
