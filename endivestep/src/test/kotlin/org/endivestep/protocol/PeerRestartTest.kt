package org.endivestep.protocol

import io.grpc.Server
import io.grpc.netty.NettyServerBuilder
import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.longs.shouldBeLessThan
import io.kotest.matchers.shouldBe
import io.kotest.matchers.types.shouldBeInstanceOf
import org.endivestep.egress.WorkerResult
import org.endivestep.exchange.monotonicMs
import org.endivestep.fakes.EgressFixture
import org.endivestep.fakes.TcpProxy
import org.endivestep.fakes.answering
import org.endivestep.fakes.sampleAttempt
import org.endivestep.identity.DaemonIncarnation
import org.endivestep.outcome.AttemptResult
import org.endivestep.outcome.NotRunReason
import org.endivestep.settings.Address
import java.io.Closeable
import java.net.InetSocketAddress
import java.net.ServerSocket
import java.util.concurrent.Callable
import java.util.concurrent.CountDownLatch
import java.util.concurrent.Executors
import java.util.concurrent.Semaphore
import java.util.concurrent.TimeUnit

private const val SECRET = "a secret of the tests"
private val firstRun = DaemonIncarnation("1-run")
private val firstRunHigherGeneration = DaemonIncarnation("7-run")
private val secondRun = DaemonIncarnation("2-other-run")

/** A client, and daemons that are started one after the other on the same port. */
private class RestartFixture : Closeable {
    val threads = Executors.newCachedThreadPool()
    private val servers = mutableListOf<Server>()
    val channels = PeerChannels(PeerAuthentication(SECRET))
    private val notices = AdmissionNotices(::monotonicMs).also { it.start() }
    val client = ExchangeClient(channels, threads)

    fun start(port: Int, fixture: EgressFixture, run: DaemonIncarnation): Int {
        val server =
            NettyServerBuilder
                .forAddress(InetSocketAddress("127.0.0.1", port))
                .intercept(PeerAuthentication(SECRET).serverInterceptor { })
                .callExecutor(callExecutorSupplier(threads))
                .addService(ExchangeServer(fixture.egress, { run }, threads, notices))
                .build()
                .start()
        servers += server
        return server.port
    }

    override fun close() {
        channels.close()
        notices.stop()
        servers.forEach { it.shutdownNow() }
        threads.shutdownNow()
    }
}

class PeerRestartTest :
    FunSpec({
        test("a restarted daemon is reachable immediately, even though connections to its previous run were refused") {
            RestartFixture().use { fixture ->
                val port = ServerSocket(0).use { it.localPort }
                val address = Address("127.0.0.1", port)
                repeat(4) {
                    val refused = fixture.client.attempt(Peer(address, firstRun), sampleAttempt("refused-$it"))
                    (refused as AttemptResult.NotRun).reason shouldBe NotRunReason.DAEMON_UNREACHABLE
                }
                fixture.start(port, EgressFixture(worker = answering()), secondRun)
                repeat(2) {
                    fixture.client.attempt(
                        Peer(address, secondRun),
                        sampleAttempt("after-$it"),
                    ).shouldBeInstanceOf<AttemptResult.Answered>()
                }
            }
        }

        test("calls in progress continue when a run raises its generation, and so do calls to either generation") {
            RestartFixture().use { fixture ->
                val running = Semaphore(0)
                val release = CountDownLatch(1)
                val slow =
                    EgressFixture { local, request ->
                        running.release()
                        release.await(20, TimeUnit.SECONDS)
                        answering()(local, request)
                    }
                val address = Address("127.0.0.1", fixture.start(0, slow, firstRun))
                val kept = fixture.threads.submit(Callable { fixture.client.attempt(Peer(address, firstRun), sampleAttempt("kept")) })
                running.tryAcquire(5, TimeUnit.SECONDS) shouldBe true
                val after =
                    fixture.threads.submit(
                        Callable {
                            fixture.client.attempt(Peer(address, firstRunHigherGeneration), sampleAttempt("after"))
                        },
                    )
                running.tryAcquire(5, TimeUnit.SECONDS) shouldBe true
                release.countDown()
                listOf(kept, after).forEach { it.get(9, TimeUnit.SECONDS).shouldBeInstanceOf<AttemptResult.Answered>() }
            }
        }

        // Guards against an answer that lies unread in a socket, and is discarded because its sender has started again (issue 57).
        test("an answer that an earlier run had sent is received, although the next run is known already") {
            RestartFixture().use { fixture ->
                val running = CountDownLatch(1)
                val release = CountDownLatch(1)
                val slow =
                    EgressFixture { local, request ->
                        running.countDown()
                        release.await(20, TimeUnit.SECONDS)
                        answering()(local, request)
                    }
                val peer = Peer(Address("127.0.0.1", fixture.start(0, slow, firstRun)), firstRun)
                val kept = fixture.threads.submit(Callable { fixture.client.attempt(peer, sampleAttempt("kept")) })
                running.await(5, TimeUnit.SECONDS) shouldBe true
                val resume = CountDownLatch(1)
                repeat(2) { stallTransport(fixture.channels.next(peer), resume) }
                release.countDown()
                Thread.sleep(200)
                fixture.threads.submit { fixture.client.attempt(peer.copy(incarnation = secondRun), sampleAttempt("after")) }
                Thread.sleep(100)
                resume.countDown()
                kept.get(9, TimeUnit.SECONDS).shouldBeInstanceOf<AttemptResult.Answered>()
            }
        }

        test("a call to a run that ended without closing its connection is cancelled once the next run is known") {
            RestartFixture().use { fixture ->
                val running = CountDownLatch(1)
                val release = CountDownLatch(1)
                val stuck =
                    EgressFixture { _, _ ->
                        running.countDown()
                        release.await(20, TimeUnit.SECONDS)
                        WorkerResult.Failed("the machine lost power", timedOut = false)
                    }
                val old = TcpProxy(fixture.start(0, stuck, firstRun))
                val address = Address("127.0.0.1", old.port)
                val lost = fixture.threads.submit(
                    Callable {
                        fixture.client.attempt(Peer(address, firstRun), sampleAttempt(remainingMs = 9_000))
                    },
                )
                running.await(5, TimeUnit.SECONDS) shouldBe true
                old.discardData()
                val startMs = monotonicMs()
                fixture.client.attempt(Peer(address, secondRun), sampleAttempt("after"))
                lost.get(9, TimeUnit.SECONDS).shouldBeInstanceOf<AttemptResult.Unknown>()
                (monotonicMs() - startMs) shouldBeLessThan 1_000
                release.countDown()
                old.close()
            }
        }
    })
