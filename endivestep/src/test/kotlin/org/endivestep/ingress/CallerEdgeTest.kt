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

private class Edge(handler: RequestHandler, limits: CallerLimits = CallerLimits()) : AutoCloseable {
    private val loops = NioEventLoopGroup(1)
    private val runners = Executors.newCachedThreadPool()
    private val port = ServerSocket(0).use { it.localPort }
    val listener = CallerEdge(Address("127.0.0.1", port), loops, runners, { limits }, handler)

    init {
        listener.start()
    }

    fun connect() = Socket("127.0.0.1", port).also { it.soTimeout = 3_000 }

    /** Sends [text] on a connection of its own and returns all that comes until it is closed or nothing comes for long. */
    fun exchange(text: String, close: Boolean = true): String =
        connect().use { socket ->
            socket.getOutputStream().write(text.toByteArray())
            if (close) socket.getInputStream().readBytes().decodeToString() else socket.getInputStream().readNBytes(1).decodeToString()
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

class CallerEdgeTest :
    FunSpec({
        test("a caller that leaves interrupts the request that is in progress for it") {
            val began = CountDownLatch(1)
            val interrupted = CountDownLatch(1)
            Edge({
                began.countDown()
                try {
                    Thread.sleep(10_000)
                } catch (e: InterruptedException) {
                    interrupted.countDown()
                    throw e
                }
                reply("late")
            }).use { edge ->
                val socket = edge.connect()
                socket.getOutputStream().write("$GET\r\n".toByteArray())
                began.await(3, TimeUnit.SECONDS) shouldBe true
                socket.close()
                interrupted.await(500, TimeUnit.MILLISECONDS) shouldBe true
            }
        }

        test("an answer whose body breaks off never looks whole") {
            class Case(val length: Long?)
            listOf(Case(10), Case(200_000), Case(null)).forEach { case ->
                val broken =
                    object : InputStream() {
                        private var left = 5

                        override fun read(): Int = if (left-- > 0) 'x'.code else throw IOException("cut")
                    }
                Edge({ CallerReply(200, emptyList(), broken, case.length) }).use { edge ->
                    val answer = runCatching { edge.exchange("$GET\r\n") }.getOrDefault("")
                    answer shouldNotContain "0\r\n\r\n"
                    (answer.substringAfter("\r\n\r\n", "").length < (case.length ?: Long.MAX_VALUE)) shouldBe true
                }
            }
        }

        test("requests that are sent without waiting are answered in order") {
            Edge({ reply(it.target) }).use { edge ->
                val last = "GET /c HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n"
                val answers = edge.exchange("$GET\r\nGET /b HTTP/1.1\r\nHost: h\r\n\r\n$last")
                Regex("/[abc]").findAll(answers).map { it.value }.toList() shouldBe listOf("/a", "/b", "/c")
            }
        }

        test("bodies arrive whole, short and long, with a length and in chunks") {
            listOf(0, 10, 100_000, 2_000_000).forEach { size ->
                val body = "y".repeat(size)
                Edge({ request -> reply("${bodyOf(request).length}") }).use { edge ->
                    val head = "POST /a HTTP/1.1\r\nHost: h\r\nConnection: close\r\n"
                    edge.exchange("${head}Content-Length: $size\r\n\r\n$body") shouldContain "\r\n\r\n$size"
                    val chunk = if (size == 0) "" else "${size.toString(16)}\r\n$body\r\n"
                    edge.exchange("${head}Transfer-Encoding: chunked\r\n\r\n${chunk}0\r\n\r\n") shouldContain "\r\n\r\n$size"
                }
            }
        }

        test("what is no request, and a body over the limit, is refused and the connection closed") {
            Edge({ reply("handled") }, CallerLimits(bodyBytes = 10)).use { edge ->
                edge.exchange("nonsense\r\n\r\n") shouldContain "400"
                edge.exchange("POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 11\r\n\r\n") shouldContain "413"
            }
        }

        test("after the listener is closed, an open connection is still served and a new one is refused") {
            Edge({ reply("served") }).use { edge ->
                val open = edge.connect()
                open.getOutputStream().write("$GET\r\n".toByteArray())
                open.getInputStream().readNBytes(15).decodeToString() shouldContain "200"
                edge.listener.stopListening(1_000)
                runCatching { edge.connect().use { it.getInputStream().read() } }.exceptionOrNull().let {
                    (it is SocketException) shouldBe
                        true
                }
                open.getOutputStream().write("$GET\r\n".toByteArray())
                (open.getInputStream().readNBytes(15).size) shouldBe 15
            }
        }
    })
