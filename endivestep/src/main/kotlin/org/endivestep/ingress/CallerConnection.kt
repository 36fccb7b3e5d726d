package org.endivestep.ingress

import io.netty.buffer.ByteBufUtil
import io.netty.channel.Channel
import io.netty.channel.ChannelDuplexHandler
import io.netty.channel.ChannelHandlerContext
import io.netty.channel.ChannelPromise
import io.netty.handler.codec.http.HttpContent
import io.netty.handler.codec.http.HttpHeaderNames
import io.netty.handler.codec.http.HttpHeaderValues
import io.netty.handler.codec.http.HttpRequest
import io.netty.handler.codec.http.HttpResponse
import io.netty.handler.codec.http.HttpResponseStatus
import io.netty.handler.codec.http.HttpUtil
import io.netty.handler.codec.http.LastHttpContent
import io.netty.util.ReferenceCountUtil
import org.endivestep.concurrent.LoopDelay
import org.endivestep.concurrent.executeAfterReads
import org.endivestep.document.CallerLimits
import org.endivestep.exchange.monotonicMs
import org.endivestep.outcome.HeaderField
import java.util.concurrent.Executor
import java.util.concurrent.RejectedExecutionException

/** Returns whether a request may run while others of the same connection run; see [RequestPipeline]. */
internal typealias OverlapRule = (CallerRequest) -> Boolean

/**
 * Handles one caller connection: pipelined requests run in the order of [RequestPipeline], and their answers
 * leave in the order of the requests.
 *
 * A body of at most [MAX_BUFFERED_BODY_BYTES] is buffered before the handler starts, so that no thread
 * blocks on a slow caller; a longer body is passed to the handler as a stream. Reading pauses while too many
 * requests wait, and none starts while the caller does not read its answers, so the memory of a connection
 * is bounded.
 */
internal class CallerConnection(
    private val handlerExecutor: Executor,
    private val limits: () -> CallerLimits,
    private val bodyMemory: BodyMemory,
    private val isClosing: () -> Boolean,
    private val handler: RequestHandler,
    private val mayOverlap: OverlapRule,
    private val loopDelay: LoopDelay,
) : ChannelDuplexHandler() {
    private val pipeline = RequestPipeline<ServedRequest>()
    private var receiving: ReceivedRequest? = null

    // The request whose body holds up the reading, because its handler has not read what is there.
    private var pausedBy: ReceivedRequest? = null
    private var closesAfterAnswer = false
    private var startIsScheduled = false
    private lateinit var readDelay: ReadDelay

    override fun channelActive(context: ChannelHandlerContext) {
        readDelay = ReadDelay(loopDelay, monotonicMs())
        super.channelActive(context)
    }

    override fun channelRead(context: ChannelHandlerContext, message: Any) {
        try {
            if (message is HttpRequest) begin(context, message)
            if (message is HttpContent) processContent(context, message)
        } finally {
            ReferenceCountUtil.release(message)
        }
    }

    private fun begin(context: ChannelHandlerContext, request: HttpRequest) {
        if (pipeline.isClosed) return
        val length = HttpUtil.getContentLength(request, 0L)
        when {
            !request.decoderResult().isSuccess -> refuse(context, HttpResponseStatus.BAD_REQUEST)
            length > limits().bodyBytes -> refuse(context, HttpResponseStatus.REQUEST_ENTITY_TOO_LARGE)
            else -> {
                if (HttpUtil.is100ContinueExpected(request)) context.writeAndFlush(continueResponse())
                val declaredLength = HttpUtil.getContentLength(request, -1L)
                receiving =
                    ReceivedRequest(request, declaredLength, limits().bodyBytes, bodyMemory, readDelay.atRead(monotonicMs())) {
                        lookForCaller(context.channel(), it)
                    }
            }
        }
    }

    private fun processContent(context: ChannelHandlerContext, content: HttpContent) {
        val request = receiving ?: return
        if (!content.decoderResult().isSuccess) {
            request.fail("request body could not be decoded")
            request.releaseMemory()
            refuse(context, HttpResponseStatus.BAD_REQUEST)
            return
        }
        val ended = content is LastHttpContent
        if (ended) receiving = null
        val bytes = ByteBufUtil.getBytes(content.content())
        when (request.add(bytes, ended)) {
            ReceivedRequest.BodyProgress.INCOMPLETE -> Unit
            ReceivedRequest.BodyProgress.READY -> enqueue(context, request, isWhole = ended)
            ReceivedRequest.BodyProgress.TOO_LONG -> {
                request.releaseMemory()
                refuse(context, HttpResponseStatus.REQUEST_ENTITY_TOO_LARGE)
            }
            ReceivedRequest.BodyProgress.NO_MEMORY -> {
                request.releaseMemory()
                refuse(context, HttpResponseStatus.SERVICE_UNAVAILABLE, listOf(retryLater))
            }
        }
    }

    private fun enqueue(context: ChannelHandlerContext, request: ReceivedRequest, isWhole: Boolean) {
        request.onBackpressure { pause ->
            context.executor().execute {
                if (pause) pausedBy = request else resumeAfter(request)
                updateReading(context)
            }
        }
        val overlap = if (isWhole) mayOverlap else { _ -> false }
        pipeline.add(ServedRequest(context.channel(), request, overlap, limits().idleTimeoutMs) { handler(request.toRequest()) })
        updateReading(context)
        startAfterReads(context)
    }

    // A close that has come is read first, unless the reading is paused.
    private fun lookForCaller(channel: Channel, onPresent: () -> Unit) =
        channel.eventLoop().executeAfterReads { if (channel.isActive) onPresent() }

    // The close of the connection may already have come behind the request, and is read before the task runs.
    private fun startAfterReads(context: ChannelHandlerContext) {
        if (startIsScheduled) return
        startIsScheduled = true
        context.executor().execute {
            startIsScheduled = false
            startWaiting(context)
        }
    }

    // The answers of requests before the refused one leave first; the bytes behind it cannot be parsed.
    private fun refuse(context: ChannelHandlerContext, status: HttpResponseStatus, headers: List<HeaderField> = emptyList()) {
        receiving = null
        val reply = { emptyReply(status.code(), headers) }
        pipeline.add(ServedRequest(context.channel(), received = null, { false }, limits().idleTimeoutMs, reply))
        startWaiting(context)
    }

    private fun startWaiting(context: ChannelHandlerContext) {
        if (!context.channel().isActive) return
        while (context.channel().isWritable) {
            val next = pipeline.startNext(isClosing()) ?: break
            if (pipeline.first === next) next.allowAnswer()
            if (!start(next)) break
        }
        updateReading(context)
    }

    /** Returns whether [request] was started; without a free thread it waits for the requests before it, or is refused. */
    private fun start(request: ServedRequest): Boolean {
        try {
            handlerExecutor.execute(request)
            return true
        } catch (_: RejectedExecutionException) {
            if (pipeline.first === request) request.reject() else pipeline.putBack(request)
            return false
        }
    }

    private fun resumeAfter(request: ReceivedRequest) {
        if (pausedBy === request) pausedBy = null
    }

    private fun updateReading(context: ChannelHandlerContext) {
        context.channel().config().isAutoRead = pausedBy == null && !pipeline.isFull
    }

    /** Sees each part of an answer before it is written; only the answer to the first running request is being sent. */
    override fun write(context: ChannelHandlerContext, message: Any, promise: ChannelPromise) {
        if (message is HttpResponse) beginAnswer(message)
        context.write(message, promise)
        if (message is LastHttpContent) endAnswer(context, promise)
    }

    private fun beginAnswer(response: HttpResponse) {
        // After an answer that comes before the end of the request body, the remaining bytes must not be parsed as a new request.
        val bodyIsIncomplete = receiving != null && pipeline.first?.isFor(receiving) == true
        closesAfterAnswer = bodyIsIncomplete || !isDelimited(response) || pipeline.endsWithFirst(isClosing())
        if (!closesAfterAnswer) return
        response.headers().set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE)
        pipeline.all.drop(1).forEach { it.releaseMemory() }
        pipeline.close().drop(1).forEach { it.cancel() }
    }

    private fun isDelimited(response: HttpResponse): Boolean =
        HttpUtil.isContentLengthSet(response) || HttpUtil.isTransferEncodingChunked(response)

    private fun endAnswer(context: ChannelHandlerContext, written: ChannelPromise) {
        val answered = pipeline.first ?: return
        // Nobody reads the rest of a body whose request has been answered.
        if (answered.isFor(pausedBy)) pausedBy = null
        answered.releaseMemory()
        pipeline.endFirst()?.allowAnswer()
        if (closesAfterAnswer || (isClosing() && isIdle())) {
            written.addListener { context.close() }
        } else {
            startWaiting(context)
        }
    }

    private fun isIdle(): Boolean = pipeline.isIdle && receiving == null

    override fun channelWritabilityChanged(context: ChannelHandlerContext) {
        startWaiting(context)
        super.channelWritabilityChanged(context)
    }

    override fun userEventTriggered(context: ChannelHandlerContext, event: Any) {
        if (event !== CloseWhenIdle) {
            super.userEventTriggered(context, event)
        } else if (isIdle()) {
            context.close()
        }
    }

    override fun channelInactive(context: ChannelHandlerContext) {
        receiving?.fail("caller closed the connection before the end of the request body")
        receiving?.releaseMemory()
        pipeline.all.forEach { it.releaseMemory() }
        pipeline.close().forEach { it.cancel() }
        super.channelInactive(context)
    }

    @Deprecated("Deprecated in Java")
    override fun exceptionCaught(context: ChannelHandlerContext, cause: Throwable) {
        context.close()
    }

    private companion object {
        // In seconds: about as long as a long body takes to be sent on.
        val retryLater = HeaderField("Retry-After", "1")
    }
}
