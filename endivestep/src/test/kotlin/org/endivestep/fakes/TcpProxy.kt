package org.endivestep.fakes

import java.io.Closeable
import java.io.IOException
import java.net.InetAddress
import java.net.ServerSocket
import java.net.Socket
import java.util.concurrent.CopyOnWriteArrayList
import kotlin.concurrent.thread

/**
 * TCP proxy that forwards connections to [targetPort] on the loopback interface.
 *
 * It can stop forwarding on its open connections, or close them. Connections opened later are not affected.
 */
internal class TcpProxy(private val targetPort: Int) : Closeable {
    private class Connection(val downstream: Socket, val upstream: Socket) {
        @Volatile
        var discardsData = false
    }

    private val listener = ServerSocket(0, 50, InetAddress.getLoopbackAddress())
    private val connections = CopyOnWriteArrayList<Connection>()

    val port: Int get() = listener.localPort

    init {
        thread(isDaemon = true) { accept() }
    }

    /** Keeps the open connections open, but discards all data on them from now on. */
    fun discardData() = connections.forEach { it.discardsData = true }

    fun closeConnections() = connections.forEach { close(it) }

    override fun close() {
        listener.close()
        closeConnections()
    }

    private fun accept() {
        while (!listener.isClosed) {
            try {
                val downstream = listener.accept()
                val connection = Connection(downstream, Socket(InetAddress.getLoopbackAddress(), targetPort))
                connections += connection
                thread(isDaemon = true) { forward(connection, connection.downstream, connection.upstream) }
                thread(isDaemon = true) { forward(connection, connection.upstream, connection.downstream) }
            } catch (_: IOException) {
                // The listener was closed, or the target refused the connection.
            }
        }
    }

    private fun forward(connection: Connection, from: Socket, to: Socket) {
        val buffer = ByteArray(8_192)
        try {
            while (true) {
                val count = from.getInputStream().read(buffer)
                if (count < 0) break
                if (!connection.discardsData) to.getOutputStream().write(buffer, 0, count)
            }
        } catch (_: IOException) {
            // One of the two sockets was closed.
        }
        if (!connection.discardsData) close(connection)
    }

    private fun close(connection: Connection) {
        connection.downstream.close()
        connection.upstream.close()
    }
}
