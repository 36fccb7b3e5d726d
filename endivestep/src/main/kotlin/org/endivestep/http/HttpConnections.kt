package org.endivestep.http

import io.netty.bootstrap.Bootstrap
import io.netty.channel.ChannelInitializer
import io.netty.channel.ChannelOption
import io.netty.channel.EventLoopGroup
import io.netty.channel.socket.SocketChannel
import io.netty.channel.socket.nio.NioSocketChannel
import io.netty.handler.codec.http.HttpClientCodec
import org.endivestep.outcome.AnswerHead
import org.endivestep.settings.Address
import java.io.IOException
import java.net.InetSocketAddress

/**
 * Connections to HTTP servers, kept for reuse. The one used last is used next, so that spare ones
 * age and are closed. Thread-safe.
 */
internal class HttpConnections(private val loops: EventLoopGroup, private val connectTimeoutMs: Int) {
    private val idle = HashMap<Address, ArrayDeque<HttpConnection>>()

    /**
     * Returns a connection on which an exchange has begun, an idle one or a new one; blocks while it
     * connects. Answers that [isOurs] turns down are dropped.
     *
     * @throws IOException when nothing accepts the connection
     */
    fun begin(address: Address, isOurs: (AnswerHead) -> Boolean = { true }): HttpConnection {
        while (true) {
            val idle = takeIdle(address) ?: break
            if (idle.begin(isOurs)) return idle
            idle.close()
        }
        return open(address).also { it.begin(isOurs) }
    }

    /** Takes [connection] back after an exchange that ended well. */
    fun giveBack(address: Address, connection: HttpConnection) {
        connection.end()
        synchronized(idle) { idle.getOrPut(address) { ArrayDeque() }.addLast(connection) }
    }

    /** Closes all idle connections to [address]. */
    fun forget(address: Address) {
        synchronized(idle) { idle.remove(address) }?.forEach { it.close() }
    }

    private fun takeIdle(address: Address): HttpConnection? {
        synchronized(idle) {
            val connections = idle[address] ?: return null
            closeAged(connections)
            return connections.removeLastOrNull()
        }
    }

    // A peer closes idle connections on its own; one that it is about to close is not used again.
    private fun closeAged(connections: ArrayDeque<HttpConnection>) {
        val aged = connections.filter { !it.isOpen || ageMs(it) > it.idleTimeoutMs - IDLE_MARGIN_MS }
        connections.removeAll(aged)
        aged.forEach { it.close() }
    }

    private fun ageMs(connection: HttpConnection): Long = (System.nanoTime() - connection.idleSinceNanos) / NANOS_A_MILLISECOND

    private fun open(address: Address): HttpConnection {
        lateinit var connection: HttpConnection
        val bootstrap =
            Bootstrap()
                .group(loops)
                .channel(NioSocketChannel::class.java)
                .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, connectTimeoutMs)
                .option(ChannelOption.TCP_NODELAY, true)
                .handler(
                    object : ChannelInitializer<SocketChannel>() {
                        override fun initChannel(channel: SocketChannel) {
                            channel.keepAlive()
                            connection = HttpConnection(channel)
                            channel.pipeline().addLast(HttpClientCodec(MAX_LINE_BYTES, MAX_HEADER_BYTES, MAX_CHUNK_BYTES))
                            channel.pipeline().addLast(connection.Receiver())
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
        const val NANOS_A_MILLISECOND = 1_000_000L
        const val IDLE_MARGIN_MS = 1_000L
        const val MAX_LINE_BYTES = 4_096
        const val MAX_HEADER_BYTES = 65_536
        const val MAX_CHUNK_BYTES = 16_384
    }
}
