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
import org.endivestep.membership.runId
import org.endivestep.settings.Address
import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.TimeUnit
import java.util.concurrent.atomic.AtomicInteger

/**
 * Connections to other daemons: two per peer, so that an unresponsive connection does not block the peer.
 *
 * Connections are opened on first use, served by [loops], and closed when idle. Thread-safe.
 */
internal class PeerChannels(
    private val security: PeerAuthentication,
    private val loops: EventLoopGroup = NioEventLoopGroup(EVENT_LOOP_THREADS),
) {
    private val peers = ConcurrentHashMap<Address, ChannelPair>()

    private inner class ChannelPair(val address: Address) {
        private val channels = arrayOf(open(address), open(address))
        private val nextIndex = AtomicInteger()
        private var incarnation: DaemonIncarnation? = null

        @Volatile
        var clock = PeerClock()
            private set

        // Connections to an earlier run of the daemon bring only what it had sent, and after a refused connection gRPC
        // waits for a second before it connects again, so both channels are replaced when the daemon has restarted.
        @Synchronized
        fun next(incarnation: DaemonIncarnation): ManagedChannel {
            val known = this.incarnation
            if (known == null || incarnation.generation > known.generation) this.incarnation = incarnation
            if (known != null && this.incarnation?.runId != known.runId) reopen()
            return next()
        }

        @Synchronized
        fun next(): ManagedChannel = channels[Math.floorMod(nextIndex.getAndIncrement(), channels.size)]

        private fun reopen() {
            val earlier = channels.toList()
            earlier.forEach { it.shutdown() }
            loops.schedule({ earlier.forEach { it.shutdownNow() } }, LAST_ANSWERS_MS, TimeUnit.MILLISECONDS)
            channels.indices.forEach { channels[it] = open(address) }
            clock = PeerClock()
        }

        @Synchronized
        fun both(): List<ManagedChannel> = channels.toList()

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

    fun next(peer: Address): ManagedChannel = channelPair(peer).next()

    /** Returns a connection to the incarnation that [peer] names; if that is a newer run, calls to the earlier run end soon. */
    fun next(peer: Peer): ManagedChannel = channelPair(peer.address).next(peer.incarnation)

    /** Returns the clock of the run of [peer] to which the connections lead. */
    fun clock(peer: Address): PeerClock = channelPair(peer).clock

    /** Returns both connections to [peer]. */
    fun both(peer: Address): List<ManagedChannel> = channelPair(peer).both()

    /** Replaces [channel] because it became unresponsive; calls in progress on it may still complete. */
    fun retire(peer: Address, channel: ManagedChannel) = channelPair(peer).replace(channel)

    /** Number of peers with connections. */
    val peerCount: Int get() = peers.size

    /** Removes all peers except [known]; calls in progress may still complete. */
    fun retain(known: Set<Address>) = peers.keys.filterNot { it in known }.forEach { peers.remove(it)?.shutdown() }

    /** Cancels all calls, closes all connections and stops the event loops. */
    fun close() {
        peers.values.forEach { it.shutdownNow() }
        peers.clear()
        loops.shutdownGracefully(0, 1, TimeUnit.SECONDS)
    }

    private fun channelPair(peer: Address): ChannelPair = peers.computeIfAbsent(peer) { ChannelPair(it) }

    private fun open(address: Address): ManagedChannel =
        NettyChannelBuilder
            .forAddress(java.net.InetSocketAddress(address.host, address.port))
            .channelType(NioSocketChannel::class.java)
            .eventLoopGroup(loops)
            // Callbacks only enqueue frames, so they run on the transport thread.
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

        // A daemon that is behind is not dead: a longer silence ends all calls of the connection, also those at which workers are at work.
        const val KEEP_ALIVE_TIMEOUT_SECONDS = 20L
        const val IDLE_MINUTES = 5L

        /** Time in ms for reading what an earlier run of a daemon had sent, which may lie in the socket of a daemon that is behind. */
        const val LAST_ANSWERS_MS = 300L
        const val FLOW_WINDOW_BYTES = 262_144
    }
}
