package org.endivestep.membership

import io.github.oshai.kotlinlogging.KotlinLogging
import org.endivestep.protocol.GossipCodec
import org.endivestep.quarantine.SuspicionEntry
import org.endivestep.ring.Duty
import org.endivestep.ring.Ring
import org.endivestep.settings.Address
import java.net.DatagramPacket
import java.net.DatagramSocket
import java.net.InetAddress
import java.net.SocketException
import java.util.concurrent.atomic.AtomicLong

private val logger = KotlinLogging.logger {}

/** Carries out what the protocol cannot do by sending a datagram. Called on the gossip thread; must not block. */
internal typealias GossipEffect = (GossipAction) -> Unit

/** Runs the gossip protocol over UDP: one thread receives, one runs the protocol. */
internal class Gossip(
    private val protocol: GossipProtocol,
    private val codec: GossipCodec,
    private val socket: DatagramSocket,
    private val clockMs: () -> Long,
    private val effect: GossipEffect,
) {
    private sealed interface Event {
        class Packet(val bytes: ByteArray, val source: Address) : Event

        class StateSelf(val change: (MemberInfo) -> MemberInfo) : Event

        class Tell(val entries: List<SuspicionEntry>) : Event

        class MergeAll(val infos: Collection<MemberInfo>) : Event

        class AnnounceTo(val addresses: List<Address>) : Event
    }

    private val ring = Ring<Event>(RING_CAPACITY)
    private val duties = mutableListOf<Duty>()

    /** Members as of the last event; never changed in place. */
    @Volatile
    var members: List<MemberInfo> = protocol.members.toList()
        private set

    @Volatile
    var self: MemberInfo = protocol.self
        private set

    val sentBytes = AtomicLong()
    val sentMessages = AtomicLong()

    /** Datagrams refused: malformed, or not signed with the shared secret. */
    val refused = AtomicLong()

    /** Events lost because the ring was full. */
    val dropped = AtomicLong()

    fun start() {
        duties += Duty.start("gossip-receive", ::receive)
        duties += Duty.start("gossip", ::step)
    }

    /** Replaces this daemon's statement of itself and tells peers. */
    fun stateSelf(change: (MemberInfo) -> MemberInfo) = offer(Event.StateSelf(change))

    /** Tells peers at once of suspicions, or of the new configuration version. */
    fun tell(entries: List<SuspicionEntry> = emptyList()) = offer(Event.Tell(entries))

    fun mergeAll(infos: Collection<MemberInfo>) = offer(Event.MergeAll(infos))

    /** Announces this daemon to those at [addresses]. */
    fun announceTo(addresses: List<Address>) = offer(Event.AnnounceTo(addresses))

    fun stop() {
        duties.forEach { it.stop() }
        socket.close()
    }

    private fun offer(event: Event) {
        if (!ring.offer(event)) dropped.incrementAndGet()
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
        val event = ring.poll(POLL_MS)
        val nowMs = clockMs()
        if (event != null) carryOut(handle(event, nowMs))
        carryOut(protocol.tick(nowMs))
        publish()
    }

    private fun handle(event: Event, nowMs: Long): List<GossipAction> =
        when (event) {
            is Event.StateSelf -> protocol.stateSelf(event.change)
            is Event.Tell -> protocol.tell(event.entries)
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
        logStates(before)
        self = protocol.self
    }

    private fun logStates(before: List<MemberInfo>) {
        val known = before.associate { it.vm to it.state }
        members.filter { known[it.vm] != it.state }.forEach {
            logger.info { "daemon ${it.vm.text} is ${it.state.name.lowercase()} in run ${it.incarnation.text}" }
        }
    }

    private var publishedChanges = -1L

    private fun carryOut(actions: List<GossipAction>) {
        actions.forEach { if (it is GossipAction.Send) send(it) else effect(it) }
    }

    private fun send(action: GossipAction.Send) {
        val bytes = codec.encode(action.message)
        sentBytes.addAndGet(bytes.size.toLong())
        sentMessages.incrementAndGet()
        try {
            socket.send(DatagramPacket(bytes, bytes.size, InetAddress.getByName(action.to.host), action.to.port))
        } catch (_: java.io.IOException) {
            // A datagram that cannot be sent is a lost one.
            dropped.incrementAndGet()
        }
    }

    private companion object {
        const val RING_CAPACITY = 1_024
        const val MAX_DATAGRAM_BYTES = 65_507
        const val POLL_MS = 50L
        const val CLOSED_PAUSE_MS = 100L
    }
}
