package org.endivestep.emulator

import org.endivestep.fakes.LinkFault
import org.endivestep.fakes.TcpProxy
import java.io.Closeable
import java.io.IOException
import java.net.DatagramPacket
import java.net.DatagramSocket
import java.net.InetAddress
import java.net.InetSocketAddress
import kotlin.concurrent.thread

/**
 * Path from one daemon to another, over TCP and UDP: listens at [address], a loopback address of its own, for what the first one
 * sends, and forwards it to the ports from [targetPort] on at 127.0.0.1, where the second one listens.
 */
internal class PeerLink(private val address: InetAddress, private val targetPort: Int) : Closeable {
    val tcp = TcpProxy(localhost(targetPort), InetSocketAddress(address, targetPort))
    private val sockets = List(UDP_PORTS) { DatagramSocket(targetPort + it, address) }

    /**
     * Starts to forward datagrams. They leave from the sockets of [reverse], the path back, so that a reply to their source address
     * takes that path.
     */
    fun forwardDatagrams(reverse: PeerLink) {
        sockets.forEachIndexed { index, socket ->
            thread(isDaemon = true) {
                try {
                    while (true) forwardOne(socket, reverse.sockets[index], targetPort + index)
                } catch (_: IOException) {
                    // The link was closed.
                }
            }
        }
    }

    private fun forwardOne(from: DatagramSocket, to: DatagramSocket, port: Int) {
        val packet = DatagramPacket(ByteArray(MAX_DATAGRAM_BYTES), MAX_DATAGRAM_BYTES)
        from.receive(packet)
        val fault = tcp.fault
        if (fault.discardsRequests) return
        if (fault.delayMs > 0) Thread.sleep(fault.delayMs)
        try {
            to.send(DatagramPacket(packet.data, packet.length, localhost(port)))
        } catch (e: IOException) {
            if (to.isClosed) throw e
            // The target's port is closed while its daemon is down.
        }
    }

    override fun close() {
        tcp.close()
        sockets.forEach { it.close() }
    }

    private companion object {
        const val UDP_PORTS = 2
        const val MAX_DATAGRAM_BYTES = 65_507

        fun localhost(port: Int) = InetSocketAddress(InetAddress.getByName("127.0.0.1"), port)
    }
}

/** Faults of the path from a daemon and of the path back, by what is lost there. */
internal class PathFaults(val there: LinkFault, val back: LinkFault)

/** Everything that the first daemon sends to the second one is lost, on connections that either of them opened. */
internal val cutOneWay = PathFaults(LinkFault(discardsRequests = true), LinkFault(discardsResponses = true))

internal val silenced = LinkFault(discardsRequests = true, discardsResponses = true).let { PathFaults(it, it) }
