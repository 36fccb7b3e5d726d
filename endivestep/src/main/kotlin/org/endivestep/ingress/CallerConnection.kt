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
 * One connection of a caller: one exchange at a time, in order.
 *
 * A body up to [MAX_COLLECTED_BYTES] is read whole before the handler starts, so that no thread waits
 * for a slow caller; a longer one is handed over as a stream.
 */
internal class CallerConnection(
    private val runners: Executor,
    private val limits: () -> CallerLimits,
    private val isClosing: () -> Boolean,
    private val handler: RequestHandler,
) : ChannelInboundHandlerAdapter() {
    private val waiting = ArrayDeque<Any>()
    private var receiving: ReceivedRequest? = null
    private var running: ServedRequest? = null

    override fun channelRead(context: ChannelHandlerContext, message: Any) {
        // A caller may send the next request before the answer to the last one has ended.
        if (running != null && receiving == null) {
            waiting.addLast(message)
            return
        }
        take(context, message)
    }

    private fun take(context: ChannelHandlerContext, message: Any) {
        try {
            if (message is HttpRequest) begin(context, message)
            if (message is HttpContent) takeContent(context, message)
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
                val stated = HttpUtil.getContentLength(request, -1L)
                receiving = ReceivedRequest(request, stated, limits().bodyBytes)
            }
        }
    }

    private fun takeContent(context: ChannelHandlerContext, content: HttpContent) {
        val request = receiving ?: return
        if (!content.decoderResult().isSuccess) {
            request.breakOff("the body cannot be read")
            refuse(context, HttpResponseStatus.BAD_REQUEST)
            return
        }
        val ended = content is LastHttpContent
        if (ended) receiving = null
        val bytes = ByteBufUtil.getBytes(content.content())
        when (request.add(bytes, ended)) {
            ReceivedRequest.Step.INCOMPLETE -> Unit
            ReceivedRequest.Step.START -> start(context, request)
            ReceivedRequest.Step.TOO_LONG -> refuse(context, HttpResponseStatus.REQUEST_ENTITY_TOO_LARGE)
        }
    }

    private fun start(context: ChannelHandlerContext, request: ReceivedRequest) {
        request.onFlow { pause -> context.channel().config().isAutoRead = !pause }
        val served = ServedRequest(context.channel(), request, handler, isClosing) { context.executor().execute { ended(context) } }
        running = served
        try {
            runners.execute(served)
        } catch (_: RejectedExecutionException) {
            served.reject()
        }
    }

    private fun ended(context: ChannelHandlerContext) {
        running = null
        if (!context.channel().isActive) return
        if (receiving != null) {
            // The answer came before the end of the body, whose rest belongs to no other request.
            context.close()
            return
        }
        if (isClosing() && waiting.isEmpty()) context.close()
        while (waiting.isNotEmpty() && (running == null || receiving != null)) take(context, waiting.removeFirst())
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
        receiving?.breakOff("the caller closed its connection")
        running?.cancel()
        waiting.forEach { ReferenceCountUtil.release(it) }
        waiting.clear()
        super.channelInactive(context)
    }

    @Deprecated("Deprecated in Java")
    override fun exceptionCaught(context: ChannelHandlerContext, cause: Throwable) {
        context.close()
    }
}
