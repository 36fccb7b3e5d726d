package org.endivestep.http

import io.netty.channel.ChannelHandlerContext
import io.netty.channel.ChannelInboundHandlerAdapter
import io.netty.channel.socket.ChannelInputShutdownEvent
import io.netty.util.ReferenceCountUtil

/**
 * Watches the bytes of a connection before they are decoded.
 *
 * Bytes that arrive while [isAwaited] returns false are dropped and reported to [fail]. So is an end of the connection: to the decoder
 * only the peer's own end of its output looks like the end of a response without a length, never a reset or a close on this side.
 */
internal class InputMonitor(private val isAwaited: () -> Boolean, private val fail: (cause: String) -> Unit) :
    ChannelInboundHandlerAdapter() {
    override fun channelRead(context: ChannelHandlerContext, message: Any) {
        if (isAwaited()) {
            context.fireChannelRead(message)
        } else {
            ReferenceCountUtil.release(message)
            fail("received bytes that belong to no request")
        }
    }

    override fun userEventTriggered(context: ChannelHandlerContext, event: Any) {
        context.fireUserEventTriggered(event)
        if (event is ChannelInputShutdownEvent) fail(CLOSED)
    }

    override fun channelInactive(context: ChannelHandlerContext) {
        fail(CLOSED)
        context.fireChannelInactive()
    }

    @Deprecated("Deprecated in Java")
    override fun exceptionCaught(context: ChannelHandlerContext, cause: Throwable) = fail(cause.toString())

    private companion object {
        const val CLOSED = "the connection was closed"
    }
}
