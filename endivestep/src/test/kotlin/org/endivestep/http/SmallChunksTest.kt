package org.endivestep.http

import io.kotest.assertions.withClue
import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.ints.shouldBeLessThanOrEqual
import io.kotest.matchers.shouldBe
import io.netty.buffer.Unpooled
import io.netty.channel.embedded.EmbeddedChannel
import io.netty.handler.codec.http.DefaultHttpRequest
import io.netty.handler.codec.http.HttpMethod
import io.netty.handler.codec.http.HttpVersion
import org.endivestep.exchange.RequestBody
import java.util.concurrent.TimeUnit

private const val HEAD = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
private const val END = "0\r\n\r\n"

/** Chunks that one read of 64 KiB brings, of one byte each. */
private const val CHUNKS_OF_A_READ = 10_000

private fun chunks(count: Int, length: Int): String = "${length.toString(16)}\r\n${"x".repeat(length)}\r\n".repeat(count)

/** A connection whose peer is the test, on an event loop whose time the test moves on. */
private class TestConnection {
    val channel = EmbeddedChannel().apply { freezeTime() }
    private val connection = HttpConnection(channel)

    val isReading: Boolean get() = channel.config().isAutoRead

    init {
        connection.addHandlers()
        connection.begin(requestId = null) { true }
        connection.send(DefaultHttpRequest(HttpVersion.HTTP_1_1, HttpMethod.GET, "/"), RequestBody.Inline(ByteArray(0)))
        channel.runPendingTasks()
    }

    /** Delivers [text] in one read. */
    fun receive(text: String) {
        channel.writeInbound(Unpooled.copiedBuffer(text, Charsets.US_ASCII))
    }

    fun advance(milliseconds: Long) {
        channel.advanceTimeBy(milliseconds, TimeUnit.MILLISECONDS)
        channel.runScheduledPendingTasks()
    }

    fun events(): List<HttpResponseEvent> =
        generateSequence { connection.next(timeoutMs = 0).takeIf { it != HttpResponseEvent.TimedOut } }.toList()
}

private fun List<HttpResponseEvent>.contents() = filterIsInstance<HttpResponseEvent.Content>()

private fun List<HttpResponseEvent>.bodyLength() = contents().sumOf { it.bytes.size }

class SmallChunksTest :
    FunSpec({
        // Guards against a worker whose answers in tiny chunks cost other requests their connections: each chunk became an event,
        // a message to the other daemon and a buffer of its own.
        test("parts of a body that arrive together are delivered together") {
            class Case(val name: String, val chunks: Int, val length: Int, val maxEvents: Int)
            listOf(
                Case("one byte each", CHUNKS_OF_A_READ, 1, 1),
                Case("short lines", 700, 80, 4),
                Case("usual chunks", 3, 16_384, 3),
            ).forEach { case ->
                withClue(case.name) {
                    val connection = TestConnection()
                    connection.receive(HEAD + chunks(case.chunks, case.length) + END)
                    val events = connection.events()
                    events.bodyLength() shouldBe case.chunks * case.length
                    events.contents().size shouldBeLessThanOrEqual case.maxEvents
                    (events.last() is HttpResponseEvent.End) shouldBe true
                }
            }
        }

        test("a part is delivered with the read that brought it, although the body goes on") {
            val connection = TestConnection()
            connection.receive(HEAD + chunks(1, 1))
            connection.events().bodyLength() shouldBe 1
            connection.receive(chunks(2, 1))
            connection.events().bodyLength() shouldBe 2
        }

        // Guards against an event loop that decodes the tiny chunks of one answer while the requests of others wait for it.
        test("reading pauses when an answer costs more decoding than its share, and goes on later") {
            class Case(val name: String, val chunks: Int, val length: Int, val pauses: Boolean)
            listOf(
                Case("one byte each", CHUNKS_OF_A_READ, 1, pauses = true),
                Case("few of one byte", 100, 1, pauses = false),
                Case("short lines", 700, 80, pauses = false),
            ).forEach { case ->
                withClue(case.name) {
                    val connection = TestConnection()
                    connection.receive(HEAD)
                    repeat(3) {
                        connection.receive(chunks(case.chunks, case.length))
                        connection.events()
                    }
                    connection.isReading shouldBe !case.pauses
                    // The chunks that were decoded after the pause began are paid for by a pause of their own.
                    repeat(2) { connection.advance(milliseconds = 60_000) }
                    connection.isReading shouldBe true
                }
            }
        }

        test("a body that is paused for its chunks arrives whole") {
            val connection = TestConnection()
            connection.receive(HEAD)
            var length = 0
            repeat(5) {
                connection.receive(chunks(CHUNKS_OF_A_READ, 1))
                length += connection.events().bodyLength()
                connection.advance(milliseconds = 60_000)
            }
            connection.receive(END)
            val events = connection.events()
            length + events.bodyLength() shouldBe 5 * CHUNKS_OF_A_READ
            (events.last() is HttpResponseEvent.End) shouldBe true
        }
    })
