package org.endivestep.fakes

import java.io.Closeable
import java.io.IOException
import java.net.InetAddress
import java.net.InetSocketAddress
import java.net.ServerSocket
import java.net.Socket
import java.util.concurrent.CopyOnWriteArrayList
import kotlin.concurrent.thread

/** What a [TcpProxy] does to the data on all of its connections, those opened later included. */
internal data class LinkFault(
    /** Time in ms by which each read is delayed, in both directions. */
    val delayMs: Long = 0,
    /** Discards what the side that opened the connection sends. */
    val discardsRequests: Boolean = false,
    /** Discards what the target sends. */
    val discardsResponses: Boolean = false,
    /** Resets new connections instead of forwarding them. */
    val refusesConnections: Boolean = false,
)

/**
 * TCP proxy that listens at [address], on the loopback interface, and forwards connections to [target].
 *
 * It can stop forwarding on its open connections, or close them. Connections opened later are not affected by that, but by
 * [fault]. Data that was discarded does not arrive later, so a connection that lost some is reset when the fault ends.
 */
internal class TcpProxy(
    private val target: InetSocketAddress,
    address: InetSocketAddress = InetSocketAddress(InetAddress.getLoopbackAddress(), 0),
) : Closeable {
    constructor(targetPort: Int) : this(InetSocketAddress(InetAddress.getLoopbackAddress(), targetPort))

    private class Connection(val downstream: Socket, val upstream: Socket) {
        @Volatile
        var discardsData = false

        @Volatile
        var lostData = false
    }

    private val listener = ServerSocket(address.port, 50, address.address)
    private val connections = CopyOnWriteArrayList<Connection>()

    @Volatile
    var fault = LinkFault()
        set(value) {
            field = value
            if (!value.discardsRequests && !value.discardsResponses) connections.filter { it.lostData }.forEach(::reset)
        }

    val port: Int get() = listener.localPort

    init {
        thread(isDaemon = true) { accept() }
    }

    /** Keeps the open connections open, but discards all data on them from now on. */
    fun discardData() = connections.forEach { it.discardsData = true }

    fun closeConnections() = connections.forEach { close(it) }

    fun resetConnections() = connections.forEach(::reset)

    override fun close() {
        listener.close()
        closeConnections()
    }

    private fun accept() {
        while (!listener.isClosed) {
            try {
                connect(listener.accept())
            } catch (_: IOException) {
                // The listener was closed.
            }
        }
    }

    private fun connect(downstream: Socket) {
        val upstream = Socket()
        val connection = Connection(downstream, upstream)
        try {
            if (fault.refusesConnections) throw IOException("new connections are refused")
            upstream.connect(target)
        } catch (_: IOException) {
            reset(connection)
            return
        }
        connections += connection
        thread(isDaemon = true) { forward(connection, downstream, upstream) { fault.discardsRequests } }
        thread(isDaemon = true) { forward(connection, upstream, downstream) { fault.discardsResponses } }
    }

    private fun forward(connection: Connection, from: Socket, to: Socket, discards: () -> Boolean) {
        val buffer = ByteArray(8_192)
        var lost = false
        try {
            while (true) {
                val count = from.getInputStream().read(buffer)
                if (count < 0) break
                if (fault.delayMs > 0) Thread.sleep(fault.delayMs)
                lost = lost || discards()
                if (lost) connection.lostData = true
                if (!connection.discardsData && !lost) to.getOutputStream().write(buffer, 0, count)
            }
        } catch (_: IOException) {
            // One of the two sockets was closed.
        }
        if (!connection.discardsData) close(connection)
    }

    private fun reset(connection: Connection) {
        for (socket in listOf(connection.downstream, connection.upstream)) {
            try {
                socket.setSoLinger(true, 0)
            } catch (_: IOException) {
                // The socket was closed already.
            }
        }
        close(connection)
    }

    private fun close(connection: Connection) {
        connections -= connection
        connection.downstream.close()
        connection.upstream.close()
    }
}
