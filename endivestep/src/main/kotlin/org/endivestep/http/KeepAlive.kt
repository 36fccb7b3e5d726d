package org.endivestep.http

import io.netty.channel.Channel
import io.netty.channel.ChannelOption
import io.netty.channel.socket.nio.NioChannelOption
import jdk.net.ExtendedSocketOptions

/**
 * TCP keep-alive options with which the operating system detects a dead connection within about three
 * seconds, even when no request is in progress on it.
 */
internal val keepAliveOptions: Map<ChannelOption<*>, Any> =
    mapOf(
        ChannelOption.SO_KEEPALIVE to true,
        NioChannelOption.of(ExtendedSocketOptions.TCP_KEEPIDLE) to 1,
        NioChannelOption.of(ExtendedSocketOptions.TCP_KEEPINTERVAL) to 1,
        NioChannelOption.of(ExtendedSocketOptions.TCP_KEEPCOUNT) to 2,
    )

/** Sets [keepAliveOptions] on this channel. */
@Suppress("UNCHECKED_CAST") // Each value has the type of its option.
internal fun Channel.keepAlive() = keepAliveOptions.forEach { (option, value) -> config().setOption(option as ChannelOption<Any>, value) }
