package org.endivestep.http

import io.netty.bootstrap.Bootstrap
import io.netty.channel.AdaptiveRecvByteBufAllocator
import io.netty.channel.ChannelInitializer
import io.netty.channel.ChannelOption
import io.netty.channel.EventLoopGroup
import io.netty.channel.socket.SocketChannel
import io.netty.channel.socket.nio.NioSocketChannel
import org.endivestep.identity.RequestId
import org.endivestep.outcome.AnswerHead
import org.endivestep.settings.Address
import java.io.IOException
import java.net.InetSocketAddress

/**
 * Pool of connections to HTTP servers. The most recently used connection is reused first, so that surplus
 * connections reach their idle timeout and are closed. Thread-safe.
 */
internal class HttpConnectionPool(private val loops: EventLoopGroup, private val connectTimeoutMs: Int) {
    private val idle = HashMap<Address, ArrayDeque<HttpConnection>>()

    /**
     * Returns an idle or a new connection on which an exchange has begun; blocks while connecting. Responses
     * for which [isExpected] returns false are discarded. A connection that has lately carried a request with
     * [requestId] is passed over, because a late second answer to that one could not be told from the expected one.
     *
     * @throws IOException when the connection cannot be established
     */
    fun begin(address: Address, requestId: RequestId? = null, isExpected: (AnswerHead) -> Boolean = { true }): HttpConnection {
        while (true) {
            val idle = takeIdle(address, requestId) ?: break
            if (idle.begin(requestId, isExpected)) return idle
            idle.close()
        }
        return open(address).also { it.begin(requestId, isExpected) }
    }

    /** Returns [connection] to the pool after a successful exchange. */
    fun release(address: Address, connection: HttpConnection) {
        connection.end()
        synchronized(idle) { idle.getOrPut(address) { ArrayDeque() }.addLast(connection) }
    }

    /** Closes all idle connections to [address]. */
    fun closeIdle(address: Address) {
        synchronized(idle) { idle.remove(address) }?.forEach { it.close() }
    }

    private fun takeIdle(address: Address, requestId: RequestId?): HttpConnection? {
        synchronized(idle) {
            val connections = idle[address] ?: return null
            closeExpired(connections)
            val usable = connections.indexOfLast { requestId == null || !it.hasCarried(requestId) }
            return if (usable >= 0) connections.removeAt(usable) else null
        }
    }

    // A peer closes idle connections after its own timeout; a connection that it is about to close is not reused.
    private fun closeExpired(connections: ArrayDeque<HttpConnection>) {
        val expired = connections.filter { !it.isOpen || idleMs(it) > it.idleTimeoutMs - IDLE_MARGIN_MS }
        connections.removeAll(expired)
        expired.forEach { it.close() }
    }

    private fun idleMs(connection: HttpConnection): Long = (System.nanoTime() - connection.idleSinceNanos) / NANOS_PER_MS

    private fun open(address: Address): HttpConnection {
        lateinit var connection: HttpConnection
        val bootstrap =
            Bootstrap()
                .group(loops)
                .channel(NioSocketChannel::class.java)
                .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, connectTimeoutMs)
                .option(ChannelOption.TCP_NODELAY, true)
                // All chunks of one read are decoded at once, so its size bounds their number.
                .option(ChannelOption.RCVBUF_ALLOCATOR, AdaptiveRecvByteBufAllocator(MIN_READ_BYTES, FIRST_READ_BYTES, MAX_READ_BYTES))
                // Tells the end of the peer's output from other ends of the connection; see [InputMonitor].
                .option(ChannelOption.ALLOW_HALF_CLOSURE, true)
                .handler(
                    object : ChannelInitializer<SocketChannel>() {
                        override fun initChannel(channel: SocketChannel) {
                            channel.keepAlive()
                            connection = HttpConnection(channel)
                            connection.addHandlers()
                        }
                    },
                )
        val connecting = bootstrap.connect(InetSocketAddress(address.host, address.port))
        try {
            connecting.await()
        } catch (e: InterruptedException) {
            connecting.addListener { connecting.channel().close() }
            throw e
        }
        if (!connecting.isSuccess) throw IOException("cannot connect to $address", connecting.cause())
        return connection
    }

    private companion object {
        const val NANOS_PER_MS = 1_000_000L
        const val IDLE_MARGIN_MS = 1_000L
        const val MIN_READ_BYTES = 64
        const val FIRST_READ_BYTES = 2_048
        const val MAX_READ_BYTES = 32_768
    }
}
