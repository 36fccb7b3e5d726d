package org.endivestep.fakes

import io.grpc.Metadata
import io.grpc.Server
import io.grpc.ServerCall
import io.grpc.ServerCallHandler
import io.grpc.ServerInterceptor
import io.grpc.netty.NettyServerBuilder
import org.endivestep.exchange.monotonicMs
import org.endivestep.identity.DaemonIncarnation
import org.endivestep.protocol.AdmissionNotices
import org.endivestep.protocol.ExchangeClient
import org.endivestep.protocol.ExchangeServer
import org.endivestep.protocol.Peer
import org.endivestep.protocol.PeerAuthentication
import org.endivestep.protocol.PeerChannels
import org.endivestep.protocol.callExecutorSupplier
import org.endivestep.protocol.v1.ExchangesGrpc
import org.endivestep.settings.Address
import java.io.Closeable
import java.net.InetSocketAddress
import java.util.concurrent.Executor
import java.util.concurrent.Executors
import java.util.concurrent.atomic.AtomicInteger

private const val SECRET = "a secret of the tests"

/** An egress behind a gRPC server, and a client that connects through a TCP proxy. */
internal class WireFixture(
    val fixture: EgressFixture,
    secret: String = SECRET,
    admitTimeoutMs: Long = ADMIT_TIMEOUT_MS,
    noticeAgeMs: Long = ADMIT_TIMEOUT_MS / 3,
    /** Time in ms for which each attempt waits for a thread. */
    startDelayMs: Long = 0,
) : Closeable {
    private val threads = Executors.newCachedThreadPool()
    private val runners =
        Executor { task ->
            threads.execute {
                Thread.sleep(startDelayMs)
                task.run()
            }
        }

    /** Incarnation of the daemon that the client calls. */
    @Volatile
    var currentIncarnation = incarnation

    /** Number of exchanges whose headers were received by the server. */
    val exchanges = AtomicInteger()
    private val notices = AdmissionNotices(::monotonicMs, noticeAgeMs).also { it.start() }
    private val server: Server =
        NettyServerBuilder
            .forAddress(InetSocketAddress("127.0.0.1", 0))
            .intercept(PeerAuthentication(SECRET).serverInterceptor { })
            .intercept(
                object : ServerInterceptor {
                    override fun <Q, A> interceptCall(
                        call: ServerCall<Q, A>,
                        headers: Metadata,
                        next: ServerCallHandler<Q, A>,
                    ): ServerCall.Listener<Q> {
                        if (call.methodDescriptor == ExchangesGrpc.getExchangeMethod()) exchanges.incrementAndGet()
                        return next.startCall(call, headers)
                    }
                },
            )
            .callExecutor(callExecutorSupplier(threads))
            .addService(ExchangeServer(fixture.egress, { currentIncarnation }, runners, notices))
            .build()
            .start()
    val proxy = TcpProxy(server.port)
    val channels = PeerChannels(PeerAuthentication(secret))
    val client = ExchangeClient(channels, threads, admitTimeoutMs)
    val peer = Peer(Address("127.0.0.1", proxy.port), incarnation)

    override fun close() {
        channels.close()
        notices.stop()
        server.shutdownNow()
        proxy.close()
        threads.shutdownNow()
    }

    companion object {
        const val ADMIT_TIMEOUT_MS = 400L
        val incarnation = DaemonIncarnation("1-run")
    }
}
