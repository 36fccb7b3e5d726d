package org.endivestep.protocol

import com.google.protobuf.InvalidProtocolBufferException
import io.github.oshai.kotlinlogging.KotlinLogging
import org.endivestep.concurrent.BackgroundLoop
import org.endivestep.configuration.ConfigurationPosition
import org.endivestep.freshness.FreshnessAnswer
import org.endivestep.freshness.FreshnessQuestion
import org.endivestep.identity.ConfigurationVersion
import org.endivestep.identity.VmName
import org.endivestep.protocol.v1.FreshnessReply
import org.endivestep.protocol.v1.FreshnessRequest
import org.endivestep.store.StoreEra
import org.endivestep.store.StoreRevision
import java.io.IOException
import java.net.DatagramPacket
import java.net.DatagramSocket
import java.net.InetSocketAddress
import java.net.SocketAddress
import java.net.SocketException

private val logger = KotlinLogging.logger {}

/**
 * Asks other daemons by datagram how recently their configuration was confirmed, and answers their questions with [answer].
 *
 * [onAnswer] gets the sequence of the question that was answered. Questions and answers that are lost are not sent again here.
 */
internal class FreshnessDatagrams(
    private val socket: DatagramSocket,
    private val vm: VmName,
    private val answer: () -> FreshnessAnswer,
    private val onAnswer: (Long, FreshnessAnswer) -> Unit,
) {
    private var loop: BackgroundLoop? = null

    fun start() {
        loop = BackgroundLoop.start("freshness-receive", ::receive)
    }

    fun stop() {
        loop?.stop()
        socket.close()
    }

    fun ask(question: FreshnessQuestion.ToPeer) {
        val request = FreshnessRequest.newBuilder().setVm(vm.text).setSequence(question.sequence).build()
        val peer = question.peer
        send(request.toByteArray(), InetSocketAddress(peer.host, peer.port + PORT_OFFSET))
    }

    private fun send(bytes: ByteArray, to: SocketAddress) {
        try {
            socket.send(DatagramPacket(bytes, bytes.size, to))
        } catch (e: IOException) {
            logger.debug { "failed to send a datagram on freshness to $to: $e" }
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
            logger.debug { "ignoring a malformed datagram on freshness from ${packet.socketAddress}: $e" }
        }
    }

    // Only a request names a VM: the first field of a reply has another wire type.
    private fun handle(packet: DatagramPacket) {
        val bytes = packet.data.copyOf(packet.length)
        val request = FreshnessRequest.parseFrom(bytes)
        if (request.vm.isNotEmpty()) {
            send(answer().toWire(request.sequence).toByteArray(), packet.socketAddress)
            return
        }
        val reply = FreshnessReply.parseFrom(bytes)
        onAnswer(reply.sequence, reply.toAnswer())
    }

    companion object {
        /** Offset from a daemon's exchange port to its port for questions on freshness. */
        const val PORT_OFFSET = 2
        private const val IDLE_MS = 10_000L
        private const val MAX_BYTES = 512
    }
}

private const val NO_PROOF = -1L

private fun FreshnessAnswer.toWire(sequence: Long): FreshnessReply =
    FreshnessReply
        .newBuilder()
        .setSequence(sequence)
        .setAgeMs(ageMs ?: NO_PROOF)
        .setConfigurationVersion(position.version.number)
        .setConfigurationEra(position.revision.era.number)
        .setConfigurationRevision(position.revision.number)
        .build()

private fun FreshnessReply.toAnswer(): FreshnessAnswer {
    val revision = StoreRevision(configurationRevision, StoreEra(configurationEra))
    return FreshnessAnswer(ageMs.takeIf { it >= 0 }, ConfigurationPosition(ConfigurationVersion(configurationVersion), revision))
}
