package org.endivestep.membership

import io.github.oshai.kotlinlogging.KotlinLogging
import org.endivestep.concurrent.BackgroundLoop
import org.endivestep.concurrent.MpscQueue
import org.endivestep.protocol.GossipCodec
import org.endivestep.quarantine.SuspicionEntry
import org.endivestep.settings.Address
import java.net.DatagramPacket
import java.net.DatagramSocket
import java.net.InetAddress
import java.net.SocketException
import java.util.concurrent.atomic.AtomicLong

private val logger = KotlinLogging.logger {}

/** Performs the actions of the protocol other than sending datagrams. Called on the gossip thread; must not block. */
internal typealias GossipActionHandler = (GossipAction) -> Unit

/** Runs the gossip protocol over UDP: one thread receives, one runs the protocol. */
internal class Gossip(
    private val protocol: GossipProtocol,
    private val codec: GossipCodec,
    private val socket: DatagramSocket,
    private val clockMs: () -> Long,
    private val onAction: GossipActionHandler,
) {
    private sealed interface Event {
        class Packet(val bytes: ByteArray, val source: Address) : Event

        class UpdateSelf(val change: (MemberInfo) -> MemberInfo) : Event

        class Push(val entries: List<SuspicionEntry>) : Event

        class MergeAll(val infos: Collection<MemberInfo>) : Event

        class AnnounceTo(val addresses: List<Address>) : Event
    }

    private val queue = MpscQueue<Event>(QUEUE_CAPACITY)
    private val loops = mutableListOf<BackgroundLoop>()

    /** Members as of the last processed event; an immutable snapshot. */
    @Volatile
    var members: List<MemberInfo> = protocol.members.toList()
        private set

    @Volatile
    var self: MemberInfo = protocol.self
        private set

    val sentBytes = AtomicLong()
    val sentMessages = AtomicLong()

    /** Number of datagrams rejected because they are malformed or not signed with the shared secret. */
    val refused = AtomicLong()

    /** Number of events lost because the queue was full, and of datagrams that could not be sent. */
    val dropped = AtomicLong()

    fun start() {
        loops += BackgroundLoop.start("gossip-receive", ::receive)
        loops += BackgroundLoop.start("gossip", ::step)
    }

    /** Applies [change] to this daemon's own entry and sends it to some peers. */
    fun updateSelf(change: (MemberInfo) -> MemberInfo) = offer(Event.UpdateSelf(change))

    /** Sends suspicions, or the new configuration version, to some peers immediately. */
    fun pushUpdate(entries: List<SuspicionEntry> = emptyList()) = offer(Event.Push(entries))

    fun mergeAll(infos: Collection<MemberInfo>) = offer(Event.MergeAll(infos))

    /** Announces this daemon to the daemons at [addresses]. */
    fun announceTo(addresses: List<Address>) = offer(Event.AnnounceTo(addresses))

    fun stop() {
        loops.forEach { it.stop() }
        socket.close()
    }

    private fun offer(event: Event) {
        if (!queue.offer(event)) dropped.incrementAndGet()
    }

    private fun receive() {
        val buffer = ByteArray(MAX_DATAGRAM_BYTES)
        val packet = DatagramPacket(buffer, buffer.size)
        try {
            socket.receive(packet)
        } catch (e: SocketException) {
            if (socket.isClosed) Thread.sleep(CLOSED_PAUSE_MS) else throw e
            return
        }
        val source = Address(packet.address.hostAddress, packet.port)
        offer(Event.Packet(packet.data.copyOf(packet.length), source))
    }

    private fun step() {
        val event = queue.poll(protocol.msUntilTick(clockMs()).coerceAtMost(MAX_POLL_MS))
        val nowMs = clockMs()
        if (event != null) perform(handle(event, nowMs))
        perform(protocol.tick(nowMs))
        publish()
    }

    private fun handle(event: Event, nowMs: Long): List<GossipAction> =
        when (event) {
            is Event.UpdateSelf -> protocol.updateSelf(event.change)
            is Event.Push -> protocol.pushUpdate(event.entries)
            is Event.MergeAll -> protocol.mergeAll(event.infos, nowMs)
            is Event.AnnounceTo -> protocol.announceTo(event.addresses)
            is Event.Packet -> handlePacket(event, nowMs)
        }

    private fun handlePacket(event: Event.Packet, nowMs: Long): List<GossipAction> {
        val message = codec.decode(event.bytes)
        if (message == null) {
            refused.incrementAndGet()
            return emptyList()
        }
        return protocol.receive(message, event.source, nowMs)
    }

    private fun publish() {
        if (protocol.changes == publishedChanges) return
        publishedChanges = protocol.changes
        val before = members
        members = protocol.members.toList()
        logStateChanges(before)
        self = protocol.self
    }

    private fun logStateChanges(before: List<MemberInfo>) {
        val known = before.associate { it.vm to it.state }
        members.filter { known[it.vm] != it.state }.forEach {
            logger.info { "daemon ${it.vm.text} is ${it.state.name.lowercase()} in run ${it.incarnation.text}" }
        }
    }

    private var publishedChanges = -1L

    private fun perform(actions: List<GossipAction>) {
        actions.forEach { if (it is GossipAction.Send) send(it) else onAction(it) }
    }

    private fun send(action: GossipAction.Send) {
        val bytes = codec.encode(action.message)
        sentBytes.addAndGet(bytes.size.toLong())
        sentMessages.incrementAndGet()
        try {
            socket.send(DatagramPacket(bytes, bytes.size, InetAddress.getByName(action.to.host), action.to.port))
        } catch (_: java.io.IOException) {
            // Counted as a lost datagram; the protocol tolerates loss.
            dropped.incrementAndGet()
        }
    }

    private companion object {
        const val QUEUE_CAPACITY = 1_024
        const val MAX_DATAGRAM_BYTES = 65_507
        const val MAX_POLL_MS = 1_000L
        const val CLOSED_PAUSE_MS = 100L
    }
}
