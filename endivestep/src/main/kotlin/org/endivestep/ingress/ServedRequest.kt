package org.endivestep.ingress

import io.github.oshai.kotlinlogging.KotlinLogging
import io.netty.buffer.Unpooled
import io.netty.channel.Channel
import io.netty.channel.ChannelFuture
import io.netty.channel.ChannelOption
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
import java.util.concurrent.CountDownLatch
import java.util.concurrent.TimeUnit

private val logger = KotlinLogging.logger {}

internal fun closingResponse(status: HttpResponseStatus): FullHttpResponse {
    val response = DefaultFullHttpResponse(HttpVersion.HTTP_1_1, status)
    response.headers().set(HttpHeaderNames.CONTENT_LENGTH, 0)
    response.headers().set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE)
    return response
}

internal fun continueResponse(): FullHttpResponse = DefaultFullHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.CONTINUE)

/**
 * Answers one request of a caller with what [answer] returns, once [allowAnswer] was called, when the responses to the
 * requests before it on the connection have been sent. A request that was refused unread has no [received] part.
 */
internal class ServedRequest(
    private val channel: Channel,
    private val received: ReceivedRequest?,
    private val overlapRule: OverlapRule,
    /** Time in ms in which the caller must read a part of the answer. */
    private val writeTimeoutMs: Long,
    private val answer: () -> CallerReply,
) : Runnable,
    PipelinedRequest {
    private var runner: Thread? = null
    private var cancelled = false
    private val mayAnswer = CountDownLatch(1)

    // Whether a byte of the response may have been written. Confined to the thread that runs the request.
    private var isBegun = false

    override val bytes: Int get() = received?.bufferedBytes ?: 0

    override val mayOverlap: Boolean by lazy(LazyThreadSafetyMode.NONE) { received != null && overlapRule(received.toRequest()) }

    override val endsConnection: Boolean get() = received?.keepsAlive != true

    /** Whether this is the request whose body [received] still arrives. */
    fun isFor(received: ReceivedRequest?): Boolean = this.received === received

    /** Gives back the memory of the request's body; to be called from the event loop. */
    fun releaseMemory() {
        received?.releaseMemory()
    }

    /** Lets the response be sent, now that it is the next one on the connection. */
    fun allowAnswer() = mayAnswer.countDown()

    /** Cancels the request and interrupts its handler, because the caller no longer waits for the response. */
    fun cancel() {
        received?.cancellation?.cancel()
        synchronized(this) {
            cancelled = true
            runner?.interrupt()
        }
    }

    /** Responds with 503 because no handler thread is free; the request is not handled. */
    fun reject() {
        channel.writeAndFlush(closingResponse(HttpResponseStatus.SERVICE_UNAVAILABLE)).addListener { channel.close() }
    }

    @Suppress("TooGenericExceptionCaught") // On any failure the caller must not receive a complete response.
    override fun run() {
        synchronized(this) {
            if (cancelled) return
            runner = Thread.currentThread()
        }
        try {
            send(answer())
        } catch (_: InterruptedException) {
            abort()
        } catch (e: Exception) {
            fail(e)
        } finally {
            synchronized(this) {
                runner = null
                Thread.interrupted()
            }
        }
    }

    // A caller whose connection closes without a response cannot tell why, so it is told while that is possible.
    private fun fail(cause: Exception) {
        if (isBegun) {
            logger.info { "response failed; closing the caller's connection: $cause" }
            abort()
            return
        }
        logger.info { "response failed before it began: $cause" }
        try {
            mayAnswer.await()
            sendComplete(emptyReply(HttpResponseStatus.BAD_GATEWAY.code(), emptyList()), ByteArray(0))
        } catch (_: InterruptedException) {
            abort()
        }
    }

    // Where the end of the connection may end the response, only a reset shows that it is incomplete.
    private fun abort() {
        if (received?.understandsChunks == false) channel.config().setOption(ChannelOption.SO_LINGER, 0)
        channel.close()
    }

    private fun send(reply: CallerReply) {
        reply.body.use { body ->
            mayAnswer.await()
            val length = reply.length
            if (length != null && length <= MAX_SINGLE_WRITE_BYTES) {
                sendComplete(reply, body.readWhole(length.toInt()))
            } else {
                sendStream(reply, length)
            }
        }
    }

    private fun sendComplete(reply: CallerReply, body: ByteArray) {
        checkLength(reply, body.size.toLong())
        val response = DefaultFullHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.valueOf(reply.status), Unpooled.wrappedBuffer(body))
        setHeaders(response.headers(), reply, body.size.toLong())
        isBegun = true
        channel.writeAndFlush(response)
    }

    // Reads the next chunk before sending the current one, so that a truncated response never looks complete.
    private fun sendStream(reply: CallerReply, length: Long?) {
        var chunk = reply.body.readNBytes(CHUNK_BYTES)
        var read = chunk.size.toLong()
        if (chunk.size < CHUNK_BYTES) checkLength(reply, read)
        while (chunk.isNotEmpty()) {
            if (length != null && read > length) throw IOException("response body is longer than its stated $length bytes")
            val nextChunk = reply.body.readNBytes(CHUNK_BYTES)
            read += nextChunk.size
            // Fewer bytes are read only at the end of the body.
            if (nextChunk.size < CHUNK_BYTES) checkLength(reply, read)
            begin(reply, length)
            await(channel.writeAndFlush(DefaultHttpContent(Unpooled.wrappedBuffer(chunk))))
            chunk = nextChunk
        }
        begin(reply, length)
        channel.writeAndFlush(LastHttpContent.EMPTY_LAST_CONTENT)
    }

    /** Writes the head of a streamed response, unless it was written. */
    private fun begin(reply: CallerReply, length: Long?) {
        if (isBegun) return
        isBegun = true
        val response = DefaultHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.valueOf(reply.status))
        setHeaders(response.headers(), reply, length)
        channel.write(response)
    }

    // The caller would take the next response on the connection for the rest of the body.
    private fun checkLength(reply: CallerReply, length: Long) {
        val stated = reply.length
        if (stated == null || length == stated) return
        if (length > 0 || !mayLackBody(reply)) throw IOException("response body has $length of its stated $stated bytes")
    }

    private fun mayLackBody(reply: CallerReply): Boolean = received?.isHead == true || reply.status in statusesWithoutBody

    private fun setHeaders(headers: HttpHeaders, reply: CallerReply, length: Long?) {
        reply.headers.forEach { headers.add(it.name, it.value) }
        if (length != null) {
            headers.set(HttpHeaderNames.CONTENT_LENGTH, length)
        } else if (received?.understandsChunks != false) {
            headers.set(HttpHeaderNames.TRANSFER_ENCODING, HttpHeaderValues.CHUNKED)
        }
    }

    private fun await(written: ChannelFuture) {
        if (!written.await(writeTimeoutMs, TimeUnit.MILLISECONDS)) throw IOException("the caller read nothing for $writeTimeoutMs ms")
        if (!written.isSuccess) throw IOException("could not write the response to the caller", written.cause())
    }

    private companion object {
        const val MAX_SINGLE_WRITE_BYTES = 65_536L
        const val CHUNK_BYTES = 16_384
        val statusesWithoutBody = setOf(204, 304)
    }
}
