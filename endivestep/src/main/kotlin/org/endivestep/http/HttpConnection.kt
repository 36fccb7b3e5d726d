package org.endivestep.http

import io.netty.buffer.ByteBuf
import io.netty.buffer.Unpooled
import io.netty.channel.Channel
import io.netty.channel.ChannelHandlerContext
import io.netty.channel.SimpleChannelInboundHandler
import io.netty.handler.codec.http.DefaultLastHttpContent
import io.netty.handler.codec.http.HttpContent
import io.netty.handler.codec.http.HttpMethod
import io.netty.handler.codec.http.HttpObject
import io.netty.handler.codec.http.HttpRequest
import io.netty.handler.codec.http.HttpRequestEncoder
import io.netty.handler.codec.http.HttpResponse
import io.netty.handler.codec.http.HttpUtil
import io.netty.handler.codec.http.LastHttpContent
import io.netty.util.concurrent.Future
import org.endivestep.exchange.RequestBody
import org.endivestep.identity.RequestId
import org.endivestep.outcome.AnswerHead
import org.endivestep.outcome.HeaderField
import java.io.ByteArrayOutputStream
import java.io.IOException
import java.util.concurrent.Callable
import java.util.concurrent.LinkedBlockingQueue
import java.util.concurrent.TimeUnit

/** Matches the idle timeout in seconds that a peer declares in its `Keep-Alive` header. */
private val keepAliveSeconds = Regex("""timeout\s*=\s*(\d+)""", RegexOption.IGNORE_CASE)

/**
 * Client connection that carries one request at a time.
 *
 * Data that arrives before a request is written, or after the end of its response, belongs to no request, so the
 * connection is closed. A response for which [isExpected] returns false is discarded, up to [MAX_DISCARDED_BYTES]
 * in an exchange, since a faulty peer may send such responses without end. Not thread-safe except for [close].
 */
internal class HttpConnection(private val channel: Channel) {
    private val events = LinkedBlockingQueue<HttpResponseEvent>()

    // Discarded in the current exchange; only the event loop changes them after the exchange has begun.
    @Volatile
    private var discardedBytes = 0L

    @Volatile
    private var discardedHeads = 0

    @Volatile
    private var isExpected: (AnswerHead) -> Boolean = { true }

    // True from when the event loop writes a request until it has received the end of the response. Only the event loop changes it.
    @Volatile
    private var awaitingResponse = false

    // Whether the request that was written last is a HEAD request. Confined to the event loop.
    private var answersHead = false
    private val decoder = ResponseDecoder { answersHead }
    private val recentRequests = ArrayDeque<RequestId>()
    private var exchanges = 0
    private val flow = ReadFlow(channel)

    /** When the last exchange ended, by [System.nanoTime]. */
    var idleSinceNanos = 0L
        private set

    /** Time in ms for which the peer keeps an idle connection open, as the peer last declared it. */
    @Volatile
    var idleTimeoutMs: Long = DEFAULT_IDLE_TIMEOUT_MS
        private set

    val isOpen: Boolean get() = channel.isActive

    /** Whether an earlier exchange has taken place on this connection. */
    val isReused: Boolean get() = exchanges > 1

    /** Whether the response of the current exchange has arrived to its end, so that reading it does not block. */
    val hasWholeResponse: Boolean get() = !awaitingResponse

    /** Adds the handlers of this connection to the pipeline of its channel. */
    fun addHandlers() {
        val receiver = Receiver()
        channel.pipeline().addLast(InputMonitor({ awaitingResponse }, receiver::fail), decoder, HttpRequestEncoder(), receiver)
    }

    /** Whether one of the last [MAX_RECENT_REQUESTS] exchanges had [requestId], so that a late second answer with it may arrive. */
    fun hasCarried(requestId: RequestId): Boolean = requestId in recentRequests

    /**
     * Begins an exchange; responses for which [isExpected] returns false are discarded. Returns false when the
     * connection has been closed in the meantime and nothing can be sent on it.
     */
    fun begin(requestId: RequestId?, isExpected: (AnswerHead) -> Boolean): Boolean {
        events.clear()
        flow.begin()
        discardedBytes = 0
        discardedHeads = 0
        this.isExpected = isExpected
        exchanges++
        requestId?.let(::remember)
        return channel.isActive
    }

    private fun remember(requestId: RequestId) {
        if (recentRequests.size == MAX_RECENT_REQUESTS) recentRequests.removeFirst()
        recentRequests.addLast(requestId)
    }

    /**
     * Sends [head] and [body]. Throws [IOException] when reading a streamed body fails or it differs from its stated
     * length; the connection must then be closed. A streamed body that is not sent within [bodyTimeoutMs], because its sender or
     * its receiver is too slow, is closed, and so is the connection.
     *
     * The thread that writes may be late, so it asks [isStillNeeded] before it writes; if that returns false, nothing is sent and the next
     * event is [HttpResponseEvent.NotSent].
     */
    fun send(head: HttpRequest, body: RequestBody, bodyTimeoutMs: Long = 0, isStillNeeded: () -> Boolean = { true }) {
        when (body) {
            is RequestBody.Inline -> channel.eventLoop().execute { if (isStillNeeded()) write(head, body) else skip() }
            is RequestBody.Streamed -> {
                val started = channel.eventLoop().submit(Callable { if (isStillNeeded()) startAndFlush(head) else skip() })
                if (started.await().now == true) BodyUpload(channel, body).send(bodyTimeoutMs)
            }
        }
    }

    // Returns false when the connection has been closed, after which nothing is read or written on it.
    private fun start(head: HttpRequest): Boolean {
        if (!channel.isActive) {
            events.add(HttpResponseEvent.Failed("the connection was closed before the request was written", requestSent = false))
            return false
        }
        answersHead = head.method() == HttpMethod.HEAD
        flow.beginResponse()
        awaitingResponse = true
        channel.write(head)
        return true
    }

    private fun startAndFlush(head: HttpRequest): Boolean = start(head).also { channel.flush() }

    private fun write(head: HttpRequest, body: RequestBody.Inline) {
        if (!start(head)) return
        channel.writeAndFlush(DefaultLastHttpContent(Unpooled.wrappedBuffer(body.bytes))).addListener(::onWritten)
    }

    private fun skip(): Boolean {
        events.add(HttpResponseEvent.NotSent)
        return false
    }

    // A failed write does not always close the connection, so it is reported here.
    private fun onWritten(written: Future<*>) {
        if (!written.isSuccess) events.add(HttpResponseEvent.Failed("could not write the request: ${written.cause()}", requestSent = true))
    }

    /** Waits for the next event of the response. */
    fun next(timeoutMs: Long): HttpResponseEvent {
        val event = events.poll(timeoutMs.coerceAtLeast(0), TimeUnit.MILLISECONDS) ?: return HttpResponseEvent.TimedOut
        if (event is HttpResponseEvent.Content) flow.consumed(event.queuedBytes)
        return event
    }

    /** Ends an exchange whose response was read to its end. */
    fun end() {
        idleSinceNanos = System.nanoTime()
    }

    fun close() {
        channel.close()
    }

    private fun deliver(event: HttpResponseEvent) {
        events.add(event)
        if (event is HttpResponseEvent.Content) flow.queued(event.queuedBytes)
    }

    /** Converts messages decoded by the codec to [HttpResponseEvent]s. */
    inner class Receiver : SimpleChannelInboundHandler<HttpObject>() {
        private var discarding = false
        private var reusable = false
        private var failure: String? = null

        // Parts of the body that arrived with the current read, so that many short ones cost the reader no more than a long one.
        private var gathered: ByteArrayOutputStream? = null

        override fun channelRead0(context: ChannelHandlerContext, message: HttpObject) {
            if (failure != null) return
            if (!message.decoderResult().isSuccess) {
                fail("received bytes that are not a valid HTTP response: ${message.decoderResult().cause()}")
                return
            }
            if (!awaitingResponse) {
                fail("received bytes after the end of the response")
                return
            }
            if (message is HttpResponse) handleHead(message)
            if (message is HttpContent) handleContent(message)
        }

        private fun handleHead(response: HttpResponse) {
            val head = response.toHead()
            discarding = response.status().code() < FIRST_FINAL_STATUS || !isExpected(head)
            // A late copy of an answer to HEAD states the length of a body that does not follow.
            reusable = HttpUtil.isKeepAlive(response) && !discarding && !answersHead
            val declaredSeconds = head.header("keep-alive")?.let { keepAliveSeconds.find(it) }?.groupValues?.get(1)?.toLongOrNull()
            if (declaredSeconds != null) idleTimeoutMs = declaredSeconds * MS_PER_SECOND
            when {
                head.status == SWITCHING_PROTOCOLS -> fail("received a switch to a protocol that was not requested")
                !discarding -> deliver(HttpResponseEvent.Head(head))
                answersHead && head.status >= FIRST_FINAL_STATUS -> fail("received an answer to another request, whose end is unknown")
                else -> countDiscardedHead()
            }
        }

        private fun countDiscardedHead() {
            discardedHeads++
            if (discardedHeads > MAX_DISCARDED_HEADS) fail("received more than $MAX_DISCARDED_HEADS responses that belong to no request")
        }

        private fun discard(bytes: Int) {
            discardedBytes += bytes
            if (discardedBytes > MAX_DISCARDED_BYTES) fail("received more than $MAX_DISCARDED_BYTES bytes that belong to no request")
        }

        private fun handleContent(content: HttpContent) {
            val bytes = content.content()
            if (bytes.isReadable) flow.decoded(bytes.readableBytes())
            if (discarding) {
                discard(bytes.readableBytes())
                return
            }
            gather(bytes)
            if (content is LastHttpContent && failure == null) end()
        }

        private fun gather(bytes: ByteBuf) {
            val count = bytes.readableBytes()
            if (count == 0) return
            val part = gathered ?: ByteArrayOutputStream(count).also { gathered = it }
            bytes.readBytes(part, count)
            if (part.size() >= MAX_GATHERED_BYTES) deliverGathered()
        }

        private fun deliverGathered() {
            val part = gathered ?: return
            gathered = null
            deliver(HttpResponseEvent.Content(part.toByteArray()))
        }

        override fun channelReadComplete(context: ChannelHandlerContext) {
            deliverGathered()
            super.channelReadComplete(context)
        }

        private fun end() {
            deliverGathered()
            awaitingResponse = false
            val hasSurplus = decoder.undecodedBytes > 0
            deliver(HttpResponseEvent.End(reusable && !hasSurplus))
            if (hasSurplus) fail("received bytes after the end of the response")
        }

        @Deprecated("Deprecated in Java")
        override fun exceptionCaught(context: ChannelHandlerContext, cause: Throwable) = fail(cause.toString())

        override fun channelInactive(context: ChannelHandlerContext) {
            fail("the connection was closed")
            super.channelInactive(context)
        }

        /** Reports that the connection cannot be used any more, and closes it. */
        fun fail(cause: String) {
            if (failure != null) return
            failure = cause
            deliverGathered()
            deliver(HttpResponseEvent.Failed(cause, requestSent = awaitingResponse))
            channel.close()
        }
    }

    private companion object {
        const val MAX_GATHERED_BYTES = 16_384
        const val FIRST_FINAL_STATUS = 200
        const val SWITCHING_PROTOCOLS = 101
        const val MAX_DISCARDED_HEADS = 16
        const val MAX_RECENT_REQUESTS = 32
        const val MAX_DISCARDED_BYTES = 1_048_576L
        const val MS_PER_SECOND = 1_000L
        const val DEFAULT_IDLE_TIMEOUT_MS = 4_000L
    }
}

private fun HttpResponse.toHead(): AnswerHead = AnswerHead(status().code(), headers().map { HeaderField(it.key, it.value) })
