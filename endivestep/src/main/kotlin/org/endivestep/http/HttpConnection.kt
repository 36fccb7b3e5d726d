package org.endivestep.http

import io.netty.buffer.ByteBufUtil
import io.netty.buffer.Unpooled
import io.netty.channel.Channel
import io.netty.channel.ChannelHandlerContext
import io.netty.channel.SimpleChannelInboundHandler
import io.netty.handler.codec.http.DefaultHttpContent
import io.netty.handler.codec.http.DefaultLastHttpContent
import io.netty.handler.codec.http.HttpContent
import io.netty.handler.codec.http.HttpObject
import io.netty.handler.codec.http.HttpRequest
import io.netty.handler.codec.http.HttpResponse
import io.netty.handler.codec.http.HttpUtil
import io.netty.handler.codec.http.LastHttpContent
import io.netty.util.concurrent.Future
import org.endivestep.exchange.RequestBody
import org.endivestep.outcome.AnswerHead
import org.endivestep.outcome.HeaderField
import java.io.IOException
import java.util.concurrent.LinkedBlockingQueue
import java.util.concurrent.TimeUnit
import java.util.concurrent.atomic.AtomicInteger

/** Time in seconds that a peer keeps an idle connection, as stated in its `Keep-Alive` header. */
private val keepAliveSeconds = Regex("""timeout\s*=\s*(\d+)""", RegexOption.IGNORE_CASE)

/**
 * One connection that carries one request at a time.
 *
 * Whatever arrives while no request is in progress belongs to none, so the connection is closed. An
 * answer for which [isOurs] is false is passed over. Not thread-safe but for [close].
 */
internal class HttpConnection(private val channel: Channel) {
    private val arrivals = LinkedBlockingQueue<HttpArrival>()
    private val queuedBytes = AtomicInteger()

    @Volatile
    private var isOurs: (AnswerHead) -> Boolean = { true }

    // From the start of an exchange to the end of its answer, as the thread of the connection sees it.
    @Volatile
    private var awaitsAnswer = false

    /** When the last exchange ended, by the system's nano clock. */
    var idleSinceNanos = 0L
        private set

    /** Time in ms that the peer keeps the connection idle; the peer's last statement counts. */
    @Volatile
    var idleTimeoutMs: Long = UNSTATED_IDLE_TIMEOUT_MS
        private set

    val isOpen: Boolean get() = channel.isActive

    /**
     * Begins an exchange; answers that [isOurs] turns down are dropped. Returns false when the connection
     * was closed meanwhile, so that nothing can be sent on it.
     */
    fun begin(isOurs: (AnswerHead) -> Boolean): Boolean {
        arrivals.clear()
        queuedBytes.set(0)
        this.isOurs = isOurs
        awaitsAnswer = true
        return channel.isActive
    }

    /** Sends [head] and [body]. Throws [IOException] when a streamed body breaks off; the connection is closed then. */
    fun send(head: HttpRequest, body: RequestBody) {
        when (body) {
            is RequestBody.Inline -> {
                channel.write(head)
                channel.writeAndFlush(DefaultLastHttpContent(Unpooled.wrappedBuffer(body.bytes))).addListener(::noteWritten)
            }
            is RequestBody.Streamed -> {
                channel.writeAndFlush(head)
                sendStream(body)
            }
        }
    }

    // A write that fails is not always followed by the end of the connection.
    private fun noteWritten(written: Future<*>) {
        if (!written.isSuccess) arrivals.add(HttpArrival.Failed("the request could not be written: ${written.cause()}"))
    }

    private fun sendStream(body: RequestBody.Streamed) {
        val buffer = ByteArray(CHUNK_BYTES)
        while (channel.isActive) {
            val count = body.stream.read(buffer)
            if (count < 0) break
            channel.writeAndFlush(DefaultHttpContent(Unpooled.copiedBuffer(buffer, 0, count))).await()
        }
        channel.writeAndFlush(LastHttpContent.EMPTY_LAST_CONTENT)
    }

    /** Waits for the next part of the answer. */
    fun next(timeoutMs: Long): HttpArrival {
        val arrival = arrivals.poll(timeoutMs.coerceAtLeast(0), TimeUnit.MILLISECONDS) ?: return HttpArrival.Late
        if (arrival is HttpArrival.Content) noteTaken(arrival.bytes.size)
        return arrival
    }

    /** Ends an exchange whose answer was read to its end. */
    fun end() {
        idleSinceNanos = System.nanoTime()
    }

    fun close() {
        channel.close()
    }

    private fun noteTaken(bytes: Int) {
        val left = queuedBytes.addAndGet(-bytes)
        if (left < RESUME_BYTES && !channel.config().isAutoRead) channel.config().isAutoRead = true
    }

    private fun deliver(arrival: HttpArrival) {
        arrivals.add(arrival)
        if (arrival is HttpArrival.Content && queuedBytes.addAndGet(arrival.bytes.size) > PAUSE_BYTES) {
            channel.config().isAutoRead = false
        }
    }

    /** Turns what the codec decodes into arrivals. */
    inner class Receiver : SimpleChannelInboundHandler<HttpObject>() {
        private var passedOver = false
        private var reusable = false
        private var failure: String? = null

        override fun channelRead0(context: ChannelHandlerContext, message: HttpObject) {
            if (!message.decoderResult().isSuccess) {
                fail(context, "bytes that are no answer: ${message.decoderResult().cause()}")
                return
            }
            if (!awaitsAnswer) {
                fail(context, "bytes arrived after the end of the answer")
                return
            }
            if (message is HttpResponse) takeHead(message)
            if (message is HttpContent) takeContent(message)
        }

        private fun takeHead(response: HttpResponse) {
            val head = response.toHead()
            passedOver = response.status().code() < FIRST_FINAL_STATUS || !isOurs(head)
            reusable = HttpUtil.isKeepAlive(response) && !passedOver
            val stated = head.header("keep-alive")?.let { keepAliveSeconds.find(it) }?.groupValues?.get(1)?.toLongOrNull()
            if (stated != null) idleTimeoutMs = stated * MS_A_SECOND
            if (!passedOver) deliver(HttpArrival.Head(head))
        }

        private fun takeContent(content: HttpContent) {
            if (passedOver) return
            if (content.content().isReadable) deliver(HttpArrival.Content(ByteBufUtil.getBytes(content.content())))
            if (content is LastHttpContent && failure == null) {
                awaitsAnswer = false
                deliver(HttpArrival.End(reusable))
            }
        }

        @Deprecated("Deprecated in Java")
        override fun exceptionCaught(context: ChannelHandlerContext, cause: Throwable) = fail(context, cause.toString())

        override fun channelInactive(context: ChannelHandlerContext) {
            if (failure == null) deliver(HttpArrival.Failed("the connection was closed"))
            super.channelInactive(context)
        }

        private fun fail(context: ChannelHandlerContext, cause: String) {
            failure = cause
            deliver(HttpArrival.Failed(cause))
            context.close()
        }
    }

    private companion object {
        const val CHUNK_BYTES = 16_384
        const val PAUSE_BYTES = 262_144
        const val RESUME_BYTES = 65_536
        const val FIRST_FINAL_STATUS = 200
        const val MS_A_SECOND = 1_000L
        const val UNSTATED_IDLE_TIMEOUT_MS = 4_000L
    }
}

private fun HttpResponse.toHead(): AnswerHead = AnswerHead(status().code(), headers().map { HeaderField(it.key, it.value) })
