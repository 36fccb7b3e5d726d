package org.endivestep.http

import io.netty.channel.ChannelHandlerContext
import io.netty.channel.ChannelInboundHandlerAdapter
import io.netty.util.ReferenceCountUtil

/**
 * Watches the bytes of a connection before they are decoded. Bytes that arrive while [isAwaited] returns false are
 * dropped and reported to [fail].
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
}
