package org.endivestep.fakes

import io.netty.channel.nio.NioEventLoopGroup
import org.endivestep.document.CallerLimits
import org.endivestep.ingress.NettyCallerServer
import org.endivestep.ingress.OverlapRule
import org.endivestep.ingress.RequestHandler
import org.endivestep.settings.Address
import java.net.ServerSocket
import java.net.Socket
import java.util.concurrent.CountDownLatch
import java.util.concurrent.Executors
import java.util.concurrent.TimeUnit

/** A server for callers on the loopback interface. */
internal class CallerServerFixture(
    handler: RequestHandler,
    limits: CallerLimits = CallerLimits(),
    mayOverlap: OverlapRule = { it.method == "GET" },
) : AutoCloseable {
    private val loops = NioEventLoopGroup(1)
    private val runners = Executors.newCachedThreadPool()
    private val port = ServerSocket(0).use { it.localPort }
    val listener = NettyCallerServer(Address("127.0.0.1", port), loops, runners, { limits }, handler, mayOverlap)

    init {
        listener.start()
    }

    /** Keeps the event loop from handling anything, until [release] is counted down. */
    fun stall(release: CountDownLatch) {
        val stalled = CountDownLatch(1)
        loops.next().execute {
            stalled.countDown()
            release.await()
        }
        stalled.await()
    }

    fun connect() = Socket("127.0.0.1", port).also { it.soTimeout = 3_000 }

    /** Sends [text] on a new connection. Returns all bytes received until it closes, or only the first byte if not [readToEnd]. */
    fun exchange(text: String, readToEnd: Boolean = true): String =
        connect().use { socket ->
            socket.getOutputStream().write(text.toByteArray())
            if (readToEnd) socket.getInputStream().readBytes().decodeToString() else socket.getInputStream().readNBytes(1).decodeToString()
        }

    override fun close() {
        runners.shutdownNow()
        loops.shutdownGracefully(0, 1, TimeUnit.SECONDS)
    }
}
