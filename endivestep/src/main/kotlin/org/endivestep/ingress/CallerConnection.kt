package org.endivestep.ingress

import io.netty.buffer.ByteBufUtil
import io.netty.channel.ChannelHandlerContext
import io.netty.channel.ChannelInboundHandlerAdapter
import io.netty.handler.codec.http.HttpContent
import io.netty.handler.codec.http.HttpRequest
import io.netty.handler.codec.http.HttpResponseStatus
import io.netty.handler.codec.http.HttpUtil
import io.netty.handler.codec.http.LastHttpContent
import io.netty.util.ReferenceCountUtil
import org.endivestep.document.CallerLimits
import java.util.concurrent.Executor
import java.util.concurrent.RejectedExecutionException

/**
 * Handles one caller connection; requests are served one at a time, in order of arrival.
 *
 * A body of at most [MAX_BUFFERED_BODY_BYTES] is buffered before the handler starts, so that no thread
 * blocks on a slow caller; a longer body is passed to the handler as a stream.
 */
internal class CallerConnection(
    private val handlerExecutor: Executor,
    private val limits: () -> CallerLimits,
    private val isClosing: () -> Boolean,
    private val handler: RequestHandler,
) : ChannelInboundHandlerAdapter() {
    private val pendingMessages = ArrayDeque<Any>()
    private var receiving: ReceivedRequest? = null
    private var running: ServedRequest? = null

    override fun channelRead(context: ChannelHandlerContext, message: Any) {
        // With pipelining, the next request may arrive before the response to the previous one has ended.
        if (running != null && receiving == null) {
            pendingMessages.addLast(message)
            return
        }
        process(context, message)
    }

    private fun process(context: ChannelHandlerContext, message: Any) {
        try {
            if (message is HttpRequest) begin(context, message)
            if (message is HttpContent) processContent(context, message)
        } finally {
            ReferenceCountUtil.release(message)
        }
    }

    private fun begin(context: ChannelHandlerContext, request: HttpRequest) {
        val length = HttpUtil.getContentLength(request, 0L)
        when {
            !request.decoderResult().isSuccess -> refuse(context, HttpResponseStatus.BAD_REQUEST)
            length > limits().bodyBytes -> refuse(context, HttpResponseStatus.REQUEST_ENTITY_TOO_LARGE)
            else -> {
                if (HttpUtil.is100ContinueExpected(request)) context.writeAndFlush(continueResponse())
                val declaredLength = HttpUtil.getContentLength(request, -1L)
                receiving = ReceivedRequest(request, declaredLength, limits().bodyBytes)
            }
        }
    }

    private fun processContent(context: ChannelHandlerContext, content: HttpContent) {
        val request = receiving ?: return
        if (!content.decoderResult().isSuccess) {
            request.fail("request body could not be decoded")
            refuse(context, HttpResponseStatus.BAD_REQUEST)
            return
        }
        val ended = content is LastHttpContent
        if (ended) receiving = null
        val bytes = ByteBufUtil.getBytes(content.content())
        when (request.add(bytes, ended)) {
            ReceivedRequest.BodyProgress.INCOMPLETE -> Unit
            ReceivedRequest.BodyProgress.READY -> start(context, request)
            ReceivedRequest.BodyProgress.TOO_LONG -> refuse(context, HttpResponseStatus.REQUEST_ENTITY_TOO_LARGE)
        }
    }

    private fun start(context: ChannelHandlerContext, request: ReceivedRequest) {
        request.onBackpressure { pause -> context.channel().config().isAutoRead = !pause }
        val served = ServedRequest(context.channel(), request, handler, isClosing) { context.executor().execute { onExchangeEnd(context) } }
        running = served
        try {
            handlerExecutor.execute(served)
        } catch (_: RejectedExecutionException) {
            served.reject()
        }
    }

    private fun onExchangeEnd(context: ChannelHandlerContext) {
        running = null
        if (!context.channel().isActive) return
        if (receiving != null) {
            // The response ended before the request body did, so the remaining bytes must not be parsed as a new request.
            context.close()
            return
        }
        if (isClosing() && pendingMessages.isEmpty()) context.close()
        while (pendingMessages.isNotEmpty() && (running == null || receiving != null)) process(context, pendingMessages.removeFirst())
    }

    private fun refuse(context: ChannelHandlerContext, status: HttpResponseStatus) {
        receiving = null
        context.writeAndFlush(closingResponse(status)).addListener { context.close() }
    }

    override fun userEventTriggered(context: ChannelHandlerContext, event: Any) {
        if (event !== CloseWhenIdle) {
            super.userEventTriggered(context, event)
        } else if (running == null && receiving == null) {
            context.close()
        }
    }

    override fun channelInactive(context: ChannelHandlerContext) {
        receiving?.fail("caller closed the connection before the end of the request body")
        running?.cancel()
        pendingMessages.forEach { ReferenceCountUtil.release(it) }
        pendingMessages.clear()
        super.channelInactive(context)
    }

    @Deprecated("Deprecated in Java")
    override fun exceptionCaught(context: ChannelHandlerContext, cause: Throwable) {
        context.close()
    }
}
