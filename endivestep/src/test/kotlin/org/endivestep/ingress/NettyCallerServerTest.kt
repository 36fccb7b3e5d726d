package org.endivestep.ingress

import io.kotest.assertions.withClue
import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.ints.shouldBeInRange
import io.kotest.matchers.shouldBe
import io.kotest.matchers.string.shouldContain
import io.kotest.matchers.string.shouldNotContain
import org.endivestep.document.CallerLimits
import org.endivestep.exchange.RequestBody
import org.endivestep.exchange.monotonicMs
import org.endivestep.fakes.CallerServerFixture
import java.io.IOException
import java.io.InputStream
import java.net.SocketException
import java.util.concurrent.ConcurrentLinkedQueue
import java.util.concurrent.CountDownLatch
import java.util.concurrent.TimeUnit
import java.util.concurrent.atomic.AtomicInteger
import kotlin.concurrent.thread

private const val GET = "GET /a HTTP/1.1\r\nHost: h\r\n"

private fun reply(text: String) = CallerReply(200, emptyList(), text.byteInputStream(), text.length.toLong())

private fun awaitUntil(condition: () -> Boolean) {
    val untilMs = monotonicMs() + 3_000
    while (!condition() && monotonicMs() < untilMs) Thread.sleep(5)
    condition() shouldBe true
}

private fun bodyOf(request: CallerRequest): String =
    when (val body = request.body) {
        is RequestBody.Inline -> body.bytes.decodeToString()
        is RequestBody.Streamed -> body.open().readBytes().decodeToString()
    }

class NettyCallerServerTest :
    FunSpec({
        test("a caller that disconnects interrupts the handler of its request") {
            val began = CountDownLatch(1)
            val interrupted = CountDownLatch(1)
            CallerServerFixture({
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
                CallerServerFixture({ CallerReply(200, emptyList(), broken, case.length) }).use { server ->
                    val answer = runCatching { server.exchange("$GET\r\n") }.getOrDefault("")
                    answer shouldNotContain "0\r\n\r\n"
                    (answer.substringAfter("\r\n\r\n", "").length < (case.length ?: Long.MAX_VALUE)) shouldBe true
                }
            }
        }

        test("pipelined requests are answered in order") {
            CallerServerFixture({ reply(it.target) }).use { server ->
                val last = "GET /c HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n"
                val answers = server.exchange("$GET\r\nGET /b HTTP/1.1\r\nHost: h\r\n\r\n$last")
                Regex("/[abc]").findAll(answers).map { it.value }.toList() shouldBe listOf("/a", "/b", "/c")
            }
        }

        test("pipelined requests that may overlap run at the same time, and their answers leave in order") {
            CallerServerFixture({ request ->
                // The earlier a request, the longer it takes.
                Thread.sleep(200 - 8 * request.target.removePrefix("/").toLong())
                reply(request.target)
            }).use { server ->
                val startMs = monotonicMs()
                val requests = (0..18).joinToString("") { "GET /$it HTTP/1.1\r\nHost: h\r\n\r\n" }
                val answers = server.exchange("${requests}GET /19 HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n")
                Regex("\r\n\r\n/(\\d+)").findAll(answers).map { it.groupValues[1].toInt() }.toList() shouldBe (0..19).toList()
                // One after the other they would take 2.5 s.
                (monotonicMs() - startMs < 1_500) shouldBe true
            }
        }

        test("a pipelined request that may not overlap starts when those before it have ended, and those behind it wait for its end") {
            val running = AtomicInteger()
            val beside = ConcurrentLinkedQueue<String>()
            CallerServerFixture({ request ->
                val count = running.incrementAndGet()
                if (request.method == "POST") beside += "$count"
                Thread.sleep(100)
                if (request.method == "POST") beside += "${running.get()}"
                running.decrementAndGet()
                reply(request.target)
            }).use { server ->
                val post = "POST /b HTTP/1.1\r\nHost: h\r\nContent-Length: 1\r\n\r\nx"
                val answers = server.exchange("$GET\r\n${post}GET /c HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n")
                Regex("/[abc]").findAll(answers).map { it.value }.toList() shouldBe listOf("/a", "/b", "/c")
                beside.toList() shouldBe listOf("1", "1")
            }
        }

        // Guards against a kept connection that is read no more, because the body of an answered upload still fills its queue.
        test("a request behind an upload that was answered unread is answered") {
            listOf(600_000, 1_040_000, 1_049_000, 1_100_000, 3_000_000).forEach { length ->
                CallerServerFixture({ request ->
                    // Until then the whole body has arrived, if it is read so far.
                    if (request.method == "POST") Thread.sleep(300)
                    reply(request.target)
                }).use { server ->
                    val answers =
                        server.connect().use { socket ->
                            val body = "x".repeat(length)
                            val upload = "POST /b HTTP/1.1\r\nHost: h\r\nContent-Length: $length\r\n\r\n$body"
                            val last = "GET /c HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n"
                            thread(isDaemon = true) { runCatching { socket.getOutputStream().write((upload + last).toByteArray()) } }
                            runCatching { socket.getInputStream().readBytes().decodeToString() }.getOrDefault("no end")
                        }
                    // An answer before the end of the body closes the connection, so that nothing behind it is taken as read.
                    withClue("$length bytes") { (answers.endsWith("/c") || "connection: close" in answers.lowercase()) shouldBe true }
                }
            }
        }

        // Guards against requests that the configuration allows and that are refused for the length of their first line.
        test("a request line may be as long as the heads that the configuration allows") {
            class Case(val name: String, val pathLength: Int, val status: String)
            listOf(
                Case("usual", 100, "200 OK"),
                Case("8 KiB", 8_192, "200 OK"),
                Case("just within the limit", 16_000, "200 OK"),
                Case("over the limit", 17_000, "400 Bad Request"),
            ).forEach { case ->
                CallerServerFixture({ reply("${it.target.length}") }, CallerLimits(headerBytes = 16_384)).use { server ->
                    val path = "/" + "a".repeat(case.pathLength - 1)
                    val answer = server.exchange("GET $path HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n")
                    withClue(case.name) { answer shouldContain case.status }
                }
            }
        }

        // Guards against a daemon that ends for lack of memory, because many callers send long bodies at the same time.
        test("bodies that together take more memory than there is for them are refused unread, and others are served afterwards") {
            val allowed = CountDownLatch(1)
            CallerServerFixture({ request ->
                allowed.await()
                reply("${bodyOf(request).length}")
            }).use { server ->
                val body = "x".repeat(500_000)
                val upload = "POST /a HTTP/1.1\r\nHost: h\r\nConnection: close\r\nContent-Length: ${body.length}\r\n\r\n$body"
                // A refused caller may see the end of the connection before the refusal.
                val answers = ConcurrentLinkedQueue<String>()
                val callers = (1..100).map { thread { answers += runCatching { server.exchange(upload) }.getOrDefault("ended") } }
                awaitUntil { answers.size >= 50 }
                answers.count { "200 OK" in it } shouldBe 0
                answers.count { "503 Service Unavailable" in it && "Retry-After" in it } shouldBeInRange 1..51
                allowed.countDown()
                callers.forEach { it.join() }
                answers.count { "200 OK" in it } shouldBeInRange 49..50
                server.exchange(upload) shouldContain "200 OK"
            }
        }

        test("requests behind one that ends the connection are not run") {
            class Case(val name: String, val first: String)
            listOf(
                Case("Connection: close", "${GET}Connection: close\r\n\r\n"),
                Case("a malformed request", "nonsense\r\n\r\n"),
                Case("a body over the limit", "POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 11\r\n\r\n"),
            ).forEach { case ->
                val runs = ConcurrentLinkedQueue<String>()
                CallerServerFixture({ request ->
                    reply("ran").also { runs += request.target }
                }, CallerLimits(bodyBytes = 10)).use { server ->
                    server.exchange("${case.first}GET /behind HTTP/1.1\r\nHost: h\r\n\r\n") shouldContain "connection: close"
                    withClue(case.name) { runs.contains("/behind") shouldBe false }
                }
            }
        }

        test("an answer to a malformed request leaves after the answers to those before it") {
            CallerServerFixture({ request ->
                Thread.sleep(100)
                reply(request.target)
            }).use { server ->
                val answers = server.exchange("$GET\r\nnonsense\r\n\r\n")
                (answers.indexOf("200 OK") in 0 until answers.indexOf("400 Bad Request")) shouldBe true
            }
        }

        test("a caller that pipelines requests and reads no answer is read no further") {
            val runs = AtomicInteger()
            CallerServerFixture({
                runs.incrementAndGet()
                reply("z".repeat(10_000))
            }).use { server ->
                server.connect().use { socket ->
                    socket.soTimeout = 500
                    val request = "GET /${"a".repeat(1_000)} HTTP/1.1\r\nHost: h\r\n\r\n".toByteArray()
                    val sent = AtomicInteger()
                    val writer =
                        thread(isDaemon = true) {
                            runCatching {
                                repeat(200_000) {
                                    socket.getOutputStream().write(request)
                                    sent.incrementAndGet()
                                }
                            }
                        }
                    writer.join(2_000)
                    // The system's buffers hold some MB in each direction; beyond them, neither requests nor answers may collect.
                    withClue("sent ${sent.get()}, run ${runs.get()}") {
                        (sent.get() < 30_000) shouldBe true
                        (runs.get() < 2_000) shouldBe true
                    }
                }
            }
        }

        // Guards against a thread, and an answer at its worker, that a caller holds for good by reading nothing.
        test("an answer that its caller does not read is given up after the idle time of the connection") {
            val closed = CountDownLatch(1)
            val endless =
                object : InputStream() {
                    override fun read(): Int = 'x'.code

                    override fun read(target: ByteArray, start: Int, count: Int): Int = count

                    override fun close() = closed.countDown()
                }
            CallerServerFixture({ CallerReply(200, emptyList(), endless, null) }, CallerLimits(idleTimeoutMs = 300)).use { server ->
                server.connect().use { socket ->
                    socket.getOutputStream().write("$GET\r\n".toByteArray())
                    closed.await(3, TimeUnit.SECONDS) shouldBe true
                }
            }
        }

        test("a caller that disconnects interrupts all of its pipelined requests") {
            val began = CountDownLatch(3)
            val interrupted = CountDownLatch(3)
            CallerServerFixture({
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
                socket.getOutputStream().write("$GET\r\n".repeat(3).toByteArray())
                began.await(3, TimeUnit.SECONDS) shouldBe true
                socket.close()
                interrupted.await(500, TimeUnit.MILLISECONDS) shouldBe true
            }
        }

        test("a planned stop ends a pipelined connection at an answer, and every request that ran is answered") {
            val runs = AtomicInteger()
            CallerServerFixture({ request ->
                runs.incrementAndGet()
                Thread.sleep(100)
                reply(request.target)
            }).use { server ->
                server.connect().use { socket ->
                    socket.getOutputStream().write((1..30).joinToString("") { "GET /$it HTTP/1.1\r\nHost: h\r\n\r\n" }.toByteArray())
                    awaitUntil { runs.get() >= 8 }
                    server.listener.closeAfterAnswers()
                    val answers = socket.getInputStream().readBytes().decodeToString()
                    Regex("200 OK").findAll(answers).count() shouldBe runs.get()
                    Regex("connection: close").findAll(answers).count() shouldBe 1
                    answers.lastIndexOf("200 OK") shouldBe answers.substringBefore("connection: close").lastIndexOf("200 OK")
                }
            }
        }

        test("request bodies arrive complete, short and long, with Content-Length and chunked") {
            listOf(0, 10, 100_000, 2_000_000).forEach { size ->
                val body = "y".repeat(size)
                CallerServerFixture({ request -> reply("${bodyOf(request).length}") }).use { server ->
                    val head = "POST /a HTTP/1.1\r\nHost: h\r\nConnection: close\r\n"
                    server.exchange("${head}Content-Length: $size\r\n\r\n$body") shouldContain "\r\n\r\n$size"
                    val chunk = if (size == 0) "" else "${size.toString(16)}\r\n$body\r\n"
                    server.exchange("${head}Transfer-Encoding: chunked\r\n\r\n${chunk}0\r\n\r\n") shouldContain "\r\n\r\n$size"
                }
            }
        }

        test("malformed requests and bodies over the limit are refused and the connection is closed") {
            CallerServerFixture({ reply("handled") }, CallerLimits(bodyBytes = 10)).use { server ->
                server.exchange("nonsense\r\n\r\n") shouldContain "400"
                server.exchange("POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 11\r\n\r\n") shouldContain "413"
            }
        }

        test("after the listening socket is closed, open connections are served and new ones are refused") {
            CallerServerFixture({ reply("served") }).use { server ->
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
