package org.endivestep.egress

import io.kotest.assertions.withClue
import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.shouldBe
import io.netty.buffer.Unpooled
import io.netty.channel.embedded.EmbeddedChannel
import io.netty.handler.codec.http.DefaultHttpContent
import io.netty.handler.codec.http.DefaultHttpRequest
import io.netty.handler.codec.http.DefaultHttpResponse
import io.netty.handler.codec.http.HttpMethod
import io.netty.handler.codec.http.HttpResponseStatus
import io.netty.handler.codec.http.HttpVersion
import io.netty.handler.codec.http.LastHttpContent
import org.endivestep.exchange.RequestBody
import org.endivestep.http.HttpConnection
import org.endivestep.http.HttpResponseEvent
import org.endivestep.outcome.AnswerHead
import java.io.IOException

private fun content() = DefaultHttpContent(Unpooled.wrappedBuffer("part".toByteArray()))

/** Returns a connection on [channel] that has sent a request and decodes nothing. */
private fun sentOn(channel: EmbeddedChannel): HttpConnection {
    val connection = HttpConnection(channel)
    channel.pipeline().addLast(connection.Receiver())
    connection.begin(requestId = null) { true }
    connection.send(DefaultHttpRequest(HttpVersion.HTTP_1_1, HttpMethod.GET, "/a"), RequestBody.Inline(ByteArray(0)))
    channel.runPendingTasks()
    return connection
}

class AnswerReaderTest :
    FunSpec({
        test("after the deadline an answer that arrived to its end is read, and any other one is truncated") {
            class Case(val name: String, val hasEnded: Boolean, val remainingMs: Long, val expected: String)
            listOf(
                Case("ended, in time", hasEnded = true, remainingMs = 100, "partpart"),
                Case("ended, after the deadline", hasEnded = true, remainingMs = 0, "partpart"),
                Case("not ended, after the deadline", hasEnded = false, remainingMs = 0, "truncated"),
                Case("not ended, long after the deadline", hasEnded = false, remainingMs = -5_000, "truncated"),
                Case("not ended, in time", hasEnded = false, remainingMs = 20, "truncated"),
            ).forEach { case ->
                val channel = EmbeddedChannel()
                val connection = sentOn(channel)
                channel.writeInbound(DefaultHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.OK), content(), content())
                if (case.hasEnded) channel.writeInbound(LastHttpContent.EMPTY_LAST_CONTENT)
                (connection.next(0) as HttpResponseEvent.Head).head shouldBe AnswerHead(200, emptyList())
                val reader = AnswerReader(connection, { case.remainingMs }) { }
                val read =
                    try {
                        reader.readBytes().decodeToString()
                    } catch (_: IOException) {
                        "truncated"
                    }
                withClue(case.name) { read shouldBe case.expected }
            }
        }

        test("a body without end is not read past the deadline, even while its next part has always arrived") {
            val channel = EmbeddedChannel()
            val connection = sentOn(channel)
            channel.writeInbound(DefaultHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.OK))
            connection.next(0)
            var leftMs = 100L
            val reader =
                AnswerReader(connection, {
                    channel.writeInbound(content())
                    leftMs--
                }) { }
            var reads = 0
            runCatching { while (reads < 1_000 && reader.read(ByteArray(4)) >= 0) reads++ }
            reads shouldBe 100
        }
    })
