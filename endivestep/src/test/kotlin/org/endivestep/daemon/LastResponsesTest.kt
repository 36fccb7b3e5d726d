package org.endivestep.daemon

import io.grpc.Server
import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.shouldBe
import io.kotest.matchers.types.shouldBeInstanceOf
import io.netty.channel.nio.NioEventLoopGroup
import org.endivestep.exchange.monotonicMs
import org.endivestep.fakes.EgressFixture
import org.endivestep.fakes.answering
import org.endivestep.fakes.sampleAttempt
import org.endivestep.identity.DaemonIncarnation
import org.endivestep.outcome.AttemptResult
import org.endivestep.protocol.AdmissionNotices
import org.endivestep.protocol.ExchangeClient
import org.endivestep.protocol.ExchangeServer
import org.endivestep.protocol.Peer
import org.endivestep.protocol.PeerAuthentication
import org.endivestep.protocol.PeerChannels
import org.endivestep.protocol.callExecutorSupplier
import org.endivestep.settings.Address
import java.util.concurrent.Callable
import java.util.concurrent.CountDownLatch
import java.util.concurrent.Executors
import java.util.concurrent.TimeUnit

private const val BEHIND_MS = 700L
private val run = DaemonIncarnation("1-run")

class LastResponsesTest :
    FunSpec({
        // Guards against answers of workers that are lost because their daemon exits while its event loop is behind (issue 57).
        test("the response to a call whose run has ended is sent before the server ends") {
            val threads = Executors.newCachedThreadPool()
            val loops = NioEventLoopGroup(1)
            val channels = PeerChannels(PeerAuthentication("a secret of the tests"))
            val notices = AdmissionNotices(::monotonicMs).also { it.start() }
            val atWork = CountDownLatch(1)
            val release = CountDownLatch(1)
            val fixture =
                EgressFixture { local, request ->
                    atWork.countDown()
                    release.await(20, TimeUnit.SECONDS)
                    answering()(local, request)
                }
            val service = ExchangeServer(fixture.egress, { run }, threads, notices)
            val interceptor = PeerAuthentication("a secret of the tests").serverInterceptor { }
            val server: Server =
                innerServer(Address("127.0.0.1", 0), listOf(interceptor), callExecutorSupplier(threads), listOf(service), loops).start()
            val peer = Peer(Address("127.0.0.1", server.port), run)
            try {
                val result = threads.submit(Callable { ExchangeClient(channels, threads).attempt(peer, sampleAttempt()) })
                atWork.await(5, TimeUnit.SECONDS) shouldBe true
                loops.execute { Thread.sleep(BEHIND_MS) }
                release.countDown()
                while (fixture.inFlight.count > 0) Thread.sleep(1)

                server.endCalls(timeoutMs = 5_000) shouldBe true
                server.shutdownNow()

                result.get(9, TimeUnit.SECONDS).shouldBeInstanceOf<AttemptResult.Answered>()
            } finally {
                channels.close()
                notices.stop()
                server.shutdownNow()
                loops.shutdownGracefully(0, 1, TimeUnit.SECONDS)
                threads.shutdownNow()
            }
        }
    })
