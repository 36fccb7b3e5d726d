package org.endivestep.ingress

import io.netty.bootstrap.ServerBootstrap
import io.netty.channel.Channel
import io.netty.channel.ChannelInitializer
import io.netty.channel.ChannelOption
import io.netty.channel.EventLoopGroup
import io.netty.channel.group.DefaultChannelGroup
import io.netty.channel.socket.SocketChannel
import io.netty.channel.socket.nio.NioServerSocketChannel
import io.netty.handler.codec.http.HttpServerCodec
import io.netty.util.concurrent.GlobalEventExecutor
import org.endivestep.document.CallerLimits
import org.endivestep.settings.Address
import java.io.IOException
import java.net.InetSocketAddress
import java.util.concurrent.Executor
import java.util.concurrent.TimeUnit

/**
 * Listens for callers at [address] and passes their requests to [handler] on [runners].
 *
 * It notices at once when a caller closes its connection and interrupts the handler then, which
 * Jetty's server does not do while it waits for an answer.
 */
internal class CallerEdge(
    private val address: Address,
    private val loops: EventLoopGroup,
    private val runners: Executor,
    private val limits: () -> CallerLimits,
    private val handler: RequestHandler,
) {
    private val connections = DefaultChannelGroup(GlobalEventExecutor.INSTANCE)
    private var listener: Channel? = null

    /** Whether connections are closed after their next answer. */
    @Volatile
    private var closing = false

    /** Starts to listen. Throws [IOException] when the port is taken. */
    fun start() {
        val bootstrap =
            ServerBootstrap()
                .group(loops)
                .channel(NioServerSocketChannel::class.java)
                .option(ChannelOption.SO_BACKLOG, ACCEPT_QUEUE)
                .option(ChannelOption.SO_REUSEADDR, true)
                .childOption(ChannelOption.TCP_NODELAY, true)
                .childHandler(
                    object : ChannelInitializer<SocketChannel>() {
                        override fun initChannel(channel: SocketChannel) = prepare(channel)
                    },
                )
        val binding = bootstrap.bind(InetSocketAddress(address.host, address.port)).await()
        if (!binding.isSuccess) throw IOException("cannot listen at $address", binding.cause())
        listener = binding.channel()
    }

    private fun prepare(channel: SocketChannel) {
        connections.add(channel)
        channel.pipeline().addLast(HttpServerCodec(MAX_LINE_BYTES, limits().headerBytes, MAX_CHUNK_BYTES))
        channel.pipeline().addLast(CallerConnection(runners, limits, { closing }, handler))
    }

    /** Closes each connection once its exchange in progress has ended; idle ones are closed now. */
    fun closeAfterAnswers() {
        closing = true
        connections.forEach { it.pipeline().fireUserEventTriggered(CloseWhenIdle) }
    }

    /** Refuses new connections; waits at most [timeoutMs] until that is so. Those that are open go on. */
    fun stopListening(timeoutMs: Long) {
        listener?.close()?.await(timeoutMs, TimeUnit.MILLISECONDS)
    }

    val connectionCount: Int get() = connections.size

    private companion object {
        const val ACCEPT_QUEUE = 1_024
        const val MAX_LINE_BYTES = 8_192
        const val MAX_CHUNK_BYTES = 16_384
    }
}

/** Asks a connection to close as soon as no exchange is in progress. */
internal object CloseWhenIdle
