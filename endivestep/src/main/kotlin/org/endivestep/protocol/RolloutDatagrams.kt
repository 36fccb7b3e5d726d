package org.endivestep.protocol

import com.google.protobuf.ByteString
import com.google.protobuf.InvalidProtocolBufferException
import io.github.oshai.kotlinlogging.KotlinLogging
import org.endivestep.concurrent.BackgroundLoop
import org.endivestep.protocol.v1.RolloutEvidence
import org.endivestep.protocol.v1.RolloutNotice
import org.endivestep.protocol.v1.SignedGossip
import org.endivestep.settings.Address
import java.io.IOException
import java.net.DatagramPacket
import java.net.DatagramSocket
import java.net.InetSocketAddress
import java.net.SocketAddress
import java.net.SocketException

private val logger = KotlinLogging.logger {}

/** Returns the reply to evidence that another daemon sent, or null to send none. */
internal typealias EvidenceHandler = (RolloutEvidence) -> RolloutNotice?

/**
 * Sends evidence for roll-outs to the deciders and receives it, and their notices in reply. Datagrams are signed with the shared secret.
 *
 * Lost ones are not sent again: the next evidence has the same counters and more.
 */
internal class RolloutDatagrams(
    private val socket: DatagramSocket,
    private val security: PeerAuthentication,
    private val onEvidence: EvidenceHandler,
    private val onNotice: (RolloutNotice) -> Unit,
) {
    private var loop: BackgroundLoop? = null

    fun start() {
        loop = BackgroundLoop.start("roll-out-receive", ::receive)
    }

    fun stop() {
        loop?.stop()
        socket.close()
    }

    /** Sends [evidence] to the daemon whose exchange port is at [peer]. */
    fun send(evidence: RolloutEvidence, peer: Address) =
        send(EVIDENCE, evidence.toByteString(), InetSocketAddress(peer.host, peer.port + PORT_OFFSET))

    private fun send(type: ByteString, message: ByteString, to: SocketAddress) {
        val payload = type.concat(message)
        val signature = ByteString.copyFrom(security.sign(signed(payload)))
        val bytes =
            SignedGossip
                .newBuilder()
                .setPayload(payload)
                .setSignature(signature)
                .build()
                .toByteArray()
        try {
            socket.send(DatagramPacket(bytes, bytes.size, to))
        } catch (e: IOException) {
            logger.debug { "failed to send a message on a roll-out to $to: $e" }
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
        try {
            handle(packet)
        } catch (e: InvalidProtocolBufferException) {
            logger.debug { "ignoring a malformed message on a roll-out from ${packet.socketAddress}: $e" }
        }
    }

    private fun handle(packet: DatagramPacket) {
        val envelope = SignedGossip.parseFrom(packet.data.copyOf(packet.length))
        val payload = envelope.payload
        if (payload.isEmpty || !security.verify(signed(payload), envelope.signature.toByteArray())) {
            logger.debug { "ignoring a message on a roll-out from ${packet.socketAddress}: it is not signed with the shared secret" }
            return
        }
        val message = payload.substring(1)
        when (payload.substring(0, 1)) {
            EVIDENCE -> onEvidence(RolloutEvidence.parseFrom(message))?.let { send(NOTICE, it.toByteString(), packet.socketAddress) }
            NOTICE -> onNotice(RolloutNotice.parseFrom(message))
        }
    }

    // Gossip is signed with the same key, so a gossip message must not be valid here.
    private fun signed(payload: ByteString): ByteArray = PURPOSE.concat(payload).toByteArray()

    companion object {
        /** Offset from a daemon's exchange port to its port for messages on roll-outs. */
        const val PORT_OFFSET = 4
        private val PURPOSE = ByteString.copyFromUtf8("roll-out ")
        private val EVIDENCE = ByteString.copyFromUtf8("E")
        private val NOTICE = ByteString.copyFromUtf8("N")
        private const val IDLE_MS = 10_000L
        private const val MAX_BYTES = 32_768
    }
}
