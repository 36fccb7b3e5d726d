package org.endivestep.protocol

import io.grpc.ManagedChannel
import io.grpc.netty.NettyChannelBuilder
import io.netty.channel.ChannelOption
import io.netty.channel.EventLoopGroup
import io.netty.channel.nio.NioEventLoopGroup
import io.netty.channel.socket.nio.NioChannelOption
import io.netty.channel.socket.nio.NioSocketChannel
import jdk.net.ExtendedSocketOptions
import org.endivestep.identity.DaemonIncarnation
import org.endivestep.membership.generation
import org.endivestep.membership.runName
import org.endivestep.settings.Address
import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.TimeUnit
import java.util.concurrent.atomic.AtomicInteger

/**
 * Connections to other daemons: two a peer, so that one that went silent does not hold up the peer.
 *
 * Connections are opened on use and closed when idle. Thread-safe.
 */
internal class PeerChannels(private val security: InnerSecurity) {
    private val loops: EventLoopGroup = NioEventLoopGroup(EVENT_LOOP_THREADS)
    private val peers = ConcurrentHashMap<Address, Lanes>()

    private inner class Lanes(val address: Address) {
        private val channels = arrayOf(open(address), open(address))
        private val turn = AtomicInteger()
        private var run: DaemonIncarnation? = null

        // Connections to an earlier run lead nowhere, and refused ones would not be tried again for a second.
        @Synchronized
        fun next(run: DaemonIncarnation): ManagedChannel {
            val known = this.run
            if (known == null || run.generation > known.generation) this.run = run
            if (known != null && this.run?.runName != known.runName) reopen()
            return next()
        }

        @Synchronized
        fun next(): ManagedChannel = channels[Math.floorMod(turn.getAndIncrement(), channels.size)]

        private fun reopen() {
            channels.forEach { it.shutdownNow() }
            channels.indices.forEach { channels[it] = open(address) }
        }

        @Synchronized
        fun other(channel: ManagedChannel): ManagedChannel = channels.first { it !== channel }

        @Synchronized
        fun replace(channel: ManagedChannel) {
            val index = channels.indexOfFirst { it === channel }
            if (index < 0) return
            channels[index] = open(address)
            channel.shutdown()
        }

        @Synchronized
        fun shutdown() = channels.forEach { it.shutdown() }

        @Synchronized
        fun shutdownNow() = channels.forEach { it.shutdownNow() }
    }

    fun next(peer: Address): ManagedChannel = lanes(peer).next()

    /** Returns a connection to the run of a daemon that [peer] names; calls to an earlier run end with it. */
    fun next(peer: Peer): ManagedChannel = lanes(peer.address).next(peer.incarnation)

    /** Returns a connection to [peer] that is not [channel]. */
    fun other(peer: Address, channel: ManagedChannel): ManagedChannel = lanes(peer).other(channel)

    /** Takes [channel] out of use because it went silent; calls on it may still end. */
    fun retire(peer: Address, channel: ManagedChannel) = lanes(peer).replace(channel)

    /** Number of peers that connections are kept for. */
    val peerCount: Int get() = peers.size

    /** Forgets all peers but [known]; calls in progress may still end. */
    fun retain(known: Set<Address>) = peers.keys.filterNot { it in known }.forEach { peers.remove(it)?.shutdown() }

    /** Ends all calls and connections. */
    fun close() {
        peers.values.forEach { it.shutdownNow() }
        peers.clear()
        loops.shutdownGracefully(0, 1, TimeUnit.SECONDS)
    }

    private fun lanes(peer: Address): Lanes = peers.computeIfAbsent(peer) { Lanes(it) }

    private fun open(address: Address): ManagedChannel =
        NettyChannelBuilder
            .forAddress(java.net.InetSocketAddress(address.host, address.port))
            .channelType(NioSocketChannel::class.java)
            .eventLoopGroup(loops)
            // Callbacks only hand frames over, so they run on the transport's own thread.
            .directExecutor()
            .usePlaintext()
            .disableRetry()
            .keepAliveTime(KEEP_ALIVE_SECONDS, TimeUnit.SECONDS)
            .keepAliveTimeout(KEEP_ALIVE_TIMEOUT_SECONDS, TimeUnit.SECONDS)
            .idleTimeout(IDLE_MINUTES, TimeUnit.MINUTES)
            .flowControlWindow(FLOW_WINDOW_BYTES)
            .withOption(ChannelOption.SO_KEEPALIVE, true)
            .withOption(NioChannelOption.of(ExtendedSocketOptions.TCP_KEEPIDLE), 1)
            .withOption(NioChannelOption.of(ExtendedSocketOptions.TCP_KEEPINTERVAL), 1)
            .withOption(NioChannelOption.of(ExtendedSocketOptions.TCP_KEEPCOUNT), 2)
            .intercept(security.clientInterceptor())
            .build()

    private companion object {
        const val EVENT_LOOP_THREADS = 2
        const val KEEP_ALIVE_SECONDS = 10L
        const val KEEP_ALIVE_TIMEOUT_SECONDS = 2L
        const val IDLE_MINUTES = 5L
        const val FLOW_WINDOW_BYTES = 262_144
    }
}
