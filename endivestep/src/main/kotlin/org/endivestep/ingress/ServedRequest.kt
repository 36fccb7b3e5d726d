package org.endivestep.ingress

import io.github.oshai.kotlinlogging.KotlinLogging
import io.netty.buffer.Unpooled
import io.netty.channel.Channel
import io.netty.channel.ChannelFuture
import io.netty.handler.codec.http.DefaultFullHttpResponse
import io.netty.handler.codec.http.DefaultHttpContent
import io.netty.handler.codec.http.DefaultHttpResponse
import io.netty.handler.codec.http.FullHttpResponse
import io.netty.handler.codec.http.HttpHeaderNames
import io.netty.handler.codec.http.HttpHeaderValues
import io.netty.handler.codec.http.HttpHeaders
import io.netty.handler.codec.http.HttpResponseStatus
import io.netty.handler.codec.http.HttpVersion
import io.netty.handler.codec.http.LastHttpContent
import org.endivestep.exchange.readWhole
import java.io.IOException

private val logger = KotlinLogging.logger {}

internal fun closingResponse(status: HttpResponseStatus): FullHttpResponse {
    val response = DefaultFullHttpResponse(HttpVersion.HTTP_1_1, status)
    response.headers().set(HttpHeaderNames.CONTENT_LENGTH, 0)
    response.headers().set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE)
    return response
}

internal fun continueResponse(): FullHttpResponse = DefaultFullHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.CONTINUE)

/** One exchange with a caller, from the whole request to the end of its answer; [onEnd] is called once. */
internal class ServedRequest(
    private val channel: Channel,
    private val received: ReceivedRequest,
    private val handler: RequestHandler,
    private val isClosing: () -> Boolean,
    private val onEnd: () -> Unit,
) : Runnable {
    private var runner: Thread? = null
    private var cancelled = false

    /** Interrupts the handler, because nobody waits for the answer. */
    fun cancel() =
        synchronized(this) {
            cancelled = true
            runner?.interrupt()
        }

    /** Answers that no thread is left, without handling the request. */
    fun reject() {
        channel.writeAndFlush(closingResponse(HttpResponseStatus.SERVICE_UNAVAILABLE)).addListener { channel.close() }
        onEnd()
    }

    @Suppress("TooGenericExceptionCaught") // Whatever fails, the caller must not see a whole answer.
    override fun run() {
        synchronized(this) {
            if (cancelled) return onEnd()
            runner = Thread.currentThread()
        }
        try {
            val request = received.toRequest()
            send(handler(request))
        } catch (_: InterruptedException) {
            channel.close()
        } catch (e: Exception) {
            logger.info { "an answer broke off: $e" }
            channel.close()
        } finally {
            synchronized(this) {
                runner = null
                Thread.interrupted()
            }
            onEnd()
        }
    }

    private fun send(reply: CallerReply) {
        reply.body.use { body ->
            val length = reply.length
            if (length != null && length <= MAX_SINGLE_WRITE_BYTES) {
                sendWhole(reply, body.readWhole(length.toInt()))
            } else {
                sendStream(reply, length)
            }
        }
    }

    private fun sendWhole(reply: CallerReply, body: ByteArray) {
        val response = DefaultFullHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.valueOf(reply.status), Unpooled.wrappedBuffer(body))
        fill(response.headers(), reply, body.size.toLong())
        finish(channel.writeAndFlush(response))
    }

    // The next piece is read before the one before it is sent, so that an answer that is cut never looks whole.
    private fun sendStream(reply: CallerReply, length: Long?) {
        val response = DefaultHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.valueOf(reply.status))
        fill(response.headers(), reply, length)
        var piece = reply.body.readNBytes(PIECE_BYTES)
        channel.write(response)
        while (piece.isNotEmpty()) {
            val following = reply.body.readNBytes(PIECE_BYTES)
            await(channel.writeAndFlush(DefaultHttpContent(Unpooled.wrappedBuffer(piece))))
            piece = following
        }
        finish(channel.writeAndFlush(LastHttpContent.EMPTY_LAST_CONTENT))
    }

    private fun fill(headers: HttpHeaders, reply: CallerReply, length: Long?) {
        reply.headers.forEach { headers.add(it.name, it.value) }
        if (length != null) {
            headers.set(HttpHeaderNames.CONTENT_LENGTH, length)
        } else {
            headers.set(HttpHeaderNames.TRANSFER_ENCODING, HttpHeaderValues.CHUNKED)
        }
        if (closes()) headers.set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE)
    }

    private fun closes(): Boolean = !received.keepsAlive || isClosing()

    private fun finish(written: ChannelFuture) {
        if (closes()) written.addListener { channel.close() }
    }

    private fun await(written: ChannelFuture) {
        written.await()
        if (!written.isSuccess) throw IOException("the caller's connection failed", written.cause())
    }

    private companion object {
        const val MAX_SINGLE_WRITE_BYTES = 65_536L
        const val PIECE_BYTES = 16_384
    }
}
