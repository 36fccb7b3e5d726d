package org.endivestep.ingress

import io.netty.bootstrap.ServerBootstrap
import io.netty.channel.AdaptiveRecvByteBufAllocator
import io.netty.channel.Channel
import io.netty.channel.ChannelInitializer
import io.netty.channel.ChannelOption
import io.netty.channel.EventLoop
import io.netty.channel.EventLoopGroup
import io.netty.channel.group.DefaultChannelGroup
import io.netty.channel.socket.SocketChannel
import io.netty.channel.socket.nio.NioServerSocketChannel
import io.netty.handler.codec.http.HttpServerCodec
import io.netty.util.concurrent.GlobalEventExecutor
import org.endivestep.concurrent.LoopDelay
import org.endivestep.document.CallerLimits
import org.endivestep.exchange.monotonicMs
import org.endivestep.settings.Address
import java.io.IOException
import java.net.InetSocketAddress
import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.Executor
import java.util.concurrent.TimeUnit

/**
 * HTTP server on Netty that listens at [address] and runs [handler] for each request on [handlerExecutor].
 * Pipelined requests for which [mayOverlap] returns true run at the same time.
 *
 * It detects at once that a caller has closed its connection, and interrupts the handler. Jetty's server
 * does not detect this while it waits for a response.
 */
internal class NettyCallerServer(
    private val address: Address,
    private val loops: EventLoopGroup,
    private val handlerExecutor: Executor,
    private val limits: () -> CallerLimits,
    private val handler: RequestHandler,
    private val mayOverlap: OverlapRule = { false },
) {
    private val connections = DefaultChannelGroup(GlobalEventExecutor.INSTANCE)
    private val bodyMemory = BodyMemory(MAX_BODY_MEMORY_BYTES)
    private val loopDelays = ConcurrentHashMap<EventLoop, LoopDelay>()
    private var listener: Channel? = null

    /** Whether connections are closed after their next response. */
    @Volatile
    private var closing = false

    /** Starts listening. Throws [IOException] when the port is already in use. */
    fun start() {
        val bootstrap =
            ServerBootstrap()
                .group(loops)
                .channel(NioServerSocketChannel::class.java)
                .option(ChannelOption.SO_BACKLOG, ACCEPT_QUEUE)
                .option(ChannelOption.SO_REUSEADDR, true)
                .childOption(ChannelOption.TCP_NODELAY, true)
                .childOption(ChannelOption.RCVBUF_ALLOCATOR, readSizes())
                .childHandler(
                    object : ChannelInitializer<SocketChannel>() {
                        override fun initChannel(channel: SocketChannel) = prepare(channel)
                    },
                )
        val binding = bootstrap.bind(InetSocketAddress(address.host, address.port)).await()
        if (!binding.isSuccess) throw IOException("cannot listen at $address", binding.cause())
        listener = binding.channel()
    }

    // All requests of one read are decoded at once, so its size bounds their number. Reads go on until nothing more has come, so that
    // the close of a connection is known before the request that came before it is started.
    private fun readSizes() =
        AdaptiveRecvByteBufAllocator(MIN_READ_BYTES, FIRST_READ_BYTES, MAX_READ_BYTES)
            .respectMaybeMoreData(false)
            .maxMessagesPerRead(MAX_SUCCESSIVE_READS)

    private fun prepare(channel: SocketChannel) {
        connections.add(channel)
        channel.pipeline().addLast(HttpServerCodec(limits().headerBytes, limits().headerBytes, MAX_CHUNK_BYTES))
        val loopDelay = loopDelays.computeIfAbsent(channel.eventLoop(), ::measureDelay)
        channel.pipeline().addLast(CallerConnection(handlerExecutor, limits, bodyMemory, { closing }, handler, mayOverlap, loopDelay))
    }

    private fun measureDelay(loop: EventLoop) =
        LoopDelay(::monotonicMs) { delayMs, task -> loop.schedule(task, delayMs, TimeUnit.MILLISECONDS) }

    /** Time in ms by which the event loop that is furthest behind is late. */
    val loopDelayMs: Long get() = loopDelays.values.maxOfOrNull { it.currentMs } ?: 0

    /** Closes idle connections now, and each other connection when its current exchange has ended. */
    fun closeAfterAnswers() {
        closing = true
        connections.forEach { it.pipeline().fireUserEventTriggered(CloseWhenIdle) }
    }

    /** Closes the listening socket, waiting at most [timeoutMs]. Open connections are not affected. */
    fun stopListening(timeoutMs: Long) {
        listener?.close()?.await(timeoutMs, TimeUnit.MILLISECONDS)
    }

    val connectionCount: Int get() = connections.size

    private companion object {
        const val ACCEPT_QUEUE = 1_024
        const val MIN_READ_BYTES = 64
        const val FIRST_READ_BYTES = 2_048
        const val MAX_READ_BYTES = 32_768
        const val MAX_SUCCESSIVE_READS = 4

        /** Bodies that are buffered before their requests are handled, and while these run. */
        const val MAX_BODY_MEMORY_BYTES = 25_165_824L
        const val MAX_CHUNK_BYTES = 16_384
    }
}

/** Event that closes a connection which has no exchange in progress. */
internal object CloseWhenIdle
