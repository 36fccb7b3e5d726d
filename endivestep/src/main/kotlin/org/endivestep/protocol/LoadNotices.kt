package org.endivestep.protocol

import com.google.protobuf.InvalidProtocolBufferException
import io.github.oshai.kotlinlogging.KotlinLogging
import org.endivestep.concurrent.BackgroundLoop
import org.endivestep.concurrent.MpscQueue
import org.endivestep.exchange.monotonicMs
import org.endivestep.identity.VmName
import org.endivestep.outcome.Load
import org.endivestep.protocol.v1.LoadNotice
import org.endivestep.settings.Address
import java.io.IOException
import java.net.DatagramPacket
import java.net.DatagramSocket
import java.net.InetSocketAddress
import java.net.SocketException

private val logger = KotlinLogging.logger {}

/**
 * Sends the load of the local worker at [vm] to other daemons by datagram, and receives theirs.
 *
 * Lost notices are not sent again: the next notice, or the load reported with an answer, replaces them.
 */
internal class LoadNotices(
    private val socket: DatagramSocket,
    private val vm: VmName,
    private val recipients: LoadNoticeRecipients,
    private val load: () -> Load,
    private val onNotice: (VmName, Load) -> Unit,
) {
    private val pendingChange = MpscQueue<Unit>(1)
    private val loops = mutableListOf<BackgroundLoop>()
    private val lastSequences = HashMap<String, Long>()
    private var sequence = System.currentTimeMillis() * SEQUENCES_PER_MS

    fun start() {
        loops += BackgroundLoop.start("load-send", ::send)
        loops += BackgroundLoop.start("load-receive", ::receive)
    }

    fun stop() {
        loops.forEach { it.stop() }
        socket.close()
    }

    /** Called when the load may have changed; does not block. */
    fun onLoadChanged() {
        if (recipients.hasSignificantChange(load())) pendingChange.offer(Unit)
    }

    private fun send() {
        if (pendingChange.poll(IDLE_MS) == null) return
        val current = load()
        val notified = recipients.select(current, monotonicMs())
        if (notified.isEmpty()) return
        val notice = LoadNotice.newBuilder().setVm(vm.text).setLoad(current.toWire()).setSequence(++sequence).build().toByteArray()
        notified.forEach { send(notice, Address(it.inner.host, it.inner.port + PORT_OFFSET)) }
        Thread.sleep(SEND_INTERVAL_MS)
    }

    private fun send(bytes: ByteArray, to: Address) {
        try {
            socket.send(DatagramPacket(bytes, bytes.size, InetSocketAddress(to.host, to.port)))
        } catch (e: IOException) {
            logger.debug { "failed to send a load notice to $to: $e" }
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
        val known = lastSequences[notice.vm] ?: 0
        if (notice.sequence <= known) return
        lastSequences[notice.vm] = notice.sequence
        notice.load.toLoad()?.let { onNotice(VmName(notice.vm), it) }
    }

    private fun decode(packet: DatagramPacket): LoadNotice? =
        try {
            LoadNotice.parseFrom(packet.data.copyOf(packet.length))
        } catch (e: InvalidProtocolBufferException) {
            logger.debug { "ignoring a malformed load notice from ${packet.socketAddress}: $e" }
            null
        }

    companion object {
        /** Offset from a daemon's exchange port to its port for load notices. */
        const val PORT_OFFSET = 1
        private const val SEQUENCES_PER_MS = 1_000L
        private const val IDLE_MS = 10_000L
        private const val SEND_INTERVAL_MS = 15L
        private const val MAX_BYTES = 512
    }
}
