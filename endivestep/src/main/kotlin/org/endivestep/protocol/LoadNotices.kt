package org.endivestep.protocol

import com.google.protobuf.InvalidProtocolBufferException
import io.github.oshai.kotlinlogging.KotlinLogging
import org.endivestep.exchange.monotonicMs
import org.endivestep.identity.VmName
import org.endivestep.outcome.Load
import org.endivestep.protocol.v1.LoadNotice
import org.endivestep.ring.Duty
import org.endivestep.ring.Ring
import org.endivestep.settings.Address
import java.io.IOException
import java.net.DatagramPacket
import java.net.DatagramSocket
import java.net.InetSocketAddress
import java.net.SocketException

private val logger = KotlinLogging.logger {}

/**
 * Tells other daemons by datagram how loaded the worker of [vm] here is, and hears it from them.
 *
 * A notice that is lost is made up for by the next one and by the load on answers.
 */
internal class LoadNotices(
    private val socket: DatagramSocket,
    private val vm: VmName,
    private val audience: LoadAudience,
    private val load: () -> Load,
    private val onNotice: (VmName, Load) -> Unit,
) {
    private val changes = Ring<Unit>(1)
    private val duties = mutableListOf<Duty>()
    private val sequences = HashMap<String, Long>()
    private var sequence = System.currentTimeMillis() * SEQUENCES_A_MILLISECOND

    fun start() {
        duties += Duty.start("load-send", ::send)
        duties += Duty.start("load-receive", ::receive)
    }

    fun stop() {
        duties.forEach { it.stop() }
        socket.close()
    }

    /** Notes that the load may have changed; does not block. */
    fun changed() {
        if (audience.isWorthTelling(load())) changes.offer(Unit)
    }

    private fun send() {
        if (changes.poll(IDLE_MS) == null) return
        val current = load()
        val told = audience.of(current, monotonicMs())
        if (told.isEmpty()) return
        val notice = LoadNotice.newBuilder().setVm(vm.text).setLoad(current.toWire()).setSequence(++sequence).build().toByteArray()
        told.forEach { send(notice, Address(it.inner.host, it.inner.port + PORT_OFFSET)) }
        Thread.sleep(PAUSE_MS)
    }

    private fun send(bytes: ByteArray, to: Address) {
        try {
            socket.send(DatagramPacket(bytes, bytes.size, InetSocketAddress(to.host, to.port)))
        } catch (e: IOException) {
            logger.debug { "a load notice to $to was not sent: $e" }
        }
    }

    private fun receive() {
        val packet = DatagramPacket(ByteArray(MAX_BYTES), MAX_BYTES)
        try {
            socket.receive(packet)
        } catch (e: SocketException) {
            if (!socket.isClosed) throw e
            Thread.sleep(IDLE_MS)
            return
        }
        val notice = decode(packet) ?: return
        val known = sequences[notice.vm] ?: 0
        if (notice.sequence <= known) return
        sequences[notice.vm] = notice.sequence
        notice.load.toLoad()?.let { onNotice(VmName(notice.vm), it) }
    }

    private fun decode(packet: DatagramPacket): LoadNotice? =
        try {
            LoadNotice.parseFrom(packet.data.copyOf(packet.length))
        } catch (e: InvalidProtocolBufferException) {
            logger.debug { "a datagram from ${packet.socketAddress} is no load notice: $e" }
            null
        }

    companion object {
        /** Notices go to the port after the one that exchanges use. */
        const val PORT_OFFSET = 1
        private const val SEQUENCES_A_MILLISECOND = 1_000L
        private const val IDLE_MS = 10_000L
        private const val PAUSE_MS = 15L
        private const val MAX_BYTES = 512
    }
}
