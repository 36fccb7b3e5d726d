package org.endivestep.protocol

import io.grpc.CallOptions
import io.grpc.Channel
import io.grpc.stub.StreamObserver
import io.kotest.assertions.throwables.shouldThrow
import io.kotest.assertions.withClue
import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.longs.shouldBeLessThan
import io.kotest.matchers.shouldBe
import io.kotest.matchers.types.shouldBeInstanceOf
import org.endivestep.document.MAX_QUEUE_WAIT_MS
import org.endivestep.egress.LocalWorker
import org.endivestep.egress.WorkerCall
import org.endivestep.egress.WorkerResult
import org.endivestep.exchange.RequestBody
import org.endivestep.exchange.monotonicMs
import org.endivestep.fakes.EgressFixture
import org.endivestep.fakes.WireFixture
import org.endivestep.fakes.answering
import org.endivestep.fakes.sampleAttempt
import org.endivestep.identity.DaemonIncarnation
import org.endivestep.outcome.AnswerHead
import org.endivestep.outcome.AttemptResult
import org.endivestep.outcome.HeaderField
import org.endivestep.outcome.NotRunReason
import org.endivestep.protocol.v1.ExchangesGrpc
import org.endivestep.protocol.v1.FenceAnswer
import org.endivestep.protocol.v1.FenceRequest
import org.endivestep.settings.Address
import java.io.IOException
import java.io.InputStream
import java.util.concurrent.CountDownLatch
import java.util.concurrent.TimeUnit

private fun AttemptResult.bodyBytes(): ByteArray = (this as AttemptResult.Answered).body.use { it.readAllBytes() }

/** Blocks the transport thread of [channel] until [release] is counted down. */
internal fun stallTransport(channel: Channel, release: CountDownLatch) {
    val stalled = CountDownLatch(1)
    val request = FenceRequest.newBuilder().setAttemptId("stall").setDaemonIncarnation(WireFixture.incarnation.text).build()
    ExchangesGrpc.newStub(channel).fence(
        request,
        object : StreamObserver<FenceAnswer> {
            override fun onNext(answer: FenceAnswer) {
                stalled.countDown()
                release.await()
            }

            override fun onError(error: Throwable) = Unit

            override fun onCompleted() = Unit
        },
    )
    stalled.await(10, TimeUnit.SECONDS) shouldBe true
}

class ExchangeWireTest :
    FunSpec({
        test("a request ends with the outcome that its worker's time, its deadline and the notice of admission allow") {
            class Case(val name: String, val workMs: Long, val deadlineMs: Long, val expected: String)
            val timeoutMs = WireFixture.ADMIT_TIMEOUT_MS
            listOf(
                Case("an answer before the notice", workMs = 0, deadlineMs = 5_000, "answered"),
                Case("an answer after the notice", workMs = timeoutMs * 2, deadlineMs = 5_000, "answered"),
                Case("no answer before a deadline that ends before the notice", workMs = 2_000, deadlineMs = 40, "unknown TIMEOUT"),
                Case(
                    "no answer before a deadline that ends after the notice",
                    workMs = 5_000,
                    deadlineMs = timeoutMs * 2,
                    "unknown TIMEOUT",
                ),
            ).forEach { case ->
                val worker: WorkerCall = { local, request ->
                    Thread.sleep(case.workMs)
                    answering()(local, request)
                }
                WireFixture(EgressFixture(worker = worker)).use { wire ->
                    // Sent first, so that a short deadline is not spent on connecting, nor on what is not known of the way to the peer.
                    repeat(2) {
                        val first = wire.client.attempt(wire.peer, sampleAttempt("first-$it", remainingMs = 10_000))
                        (first as? AttemptResult.Answered)?.body?.close()
                    }
                    val channel = wire.channels.next(wire.peer)
                    val result = wire.client.attempt(wire.peer, sampleAttempt("second", remainingMs = case.deadlineMs))
                    withClue(case.name) {
                        when (result) {
                            is AttemptResult.Answered -> "answered"
                            is AttemptResult.Unknown -> "unknown ${result.reason}"
                            is AttemptResult.NotRun -> "not run ${result.reason}"
                        } shouldBe case.expected
                        // A peer that answers fences keeps its connections.
                        listOf(wire.channels.next(wire.peer), wire.channels.next(wire.peer)).any { it === channel } shouldBe true
                    }
                }
            }
        }

        test("a call that may still be transmitted counts as sent") {
            WireFixture(EgressFixture(worker = answering())).use { wire ->
                val release = CountDownLatch(1)
                val channel = wire.channels.next(wire.peer)
                stallTransport(channel, release)
                val call = ExchangeCall(channel, CallOptions.DEFAULT, sampleAttempt("late").deadline, PeerClock())
                call.start(sampleAttempt("late").toHead(WireFixture.incarnation, PeerClock(), monotonicMs()), streamsBody = false)
                call.cancel("not admitted within the timeout")
                val wasSent = call.wasSent
                release.countDown()
                Thread.sleep(500)
                if (!wasSent) wire.exchanges.get() shouldBe 0
            }
        }

        test("connections are retained only for members, and are opened again on use") {
            WireFixture(EgressFixture(worker = answering())).use { wire ->
                listOf("first", "second").forEach { id ->
                    wire.client.attempt(wire.peer, sampleAttempt(id)).shouldBeInstanceOf<AttemptResult.Answered>()
                    wire.channels.retain(setOf(wire.peer.address))
                    wire.channels.peerCount shouldBe 1
                    wire.channels.retain(emptySet())
                    wire.channels.peerCount shouldBe 0
                }
            }
        }

        test("answers and uploads of any size are transferred completely") {
            listOf(0, 1, 70_000, 3_000_000).forEach { size ->
                val bytes = ByteArray(size) { (it % 253).toByte() }
                var uploaded = ByteArray(0)
                val worker = { local: LocalWorker, request: org.endivestep.exchange.AttemptRequest ->
                    uploaded = (request.body as RequestBody.Streamed).open().readAllBytes()
                    answering(bytes)(local, request)
                }
                WireFixture(EgressFixture(worker = worker)).use { wire ->
                    val body = RequestBody.Streamed(bytes.inputStream(), size.toLong())
                    wire.client.attempt(wire.peer, sampleAttempt(body = body)).bodyBytes().contentEquals(bytes) shouldBe true
                    uploaded.contentEquals(bytes) shouldBe true
                }
            }
        }

        test("a client with a different shared secret is rejected before its attempt runs") {
            WireFixture(EgressFixture(worker = answering()), secret = "another secret of the tests").use { wire ->
                wire.client.attempt(wire.peer, sampleAttempt()).shouldBeInstanceOf<AttemptResult.Unknown>()
                wire.fixture.runs.get() shouldBe 0
            }
        }

        test("the admission timeout exceeds the longest queue wait, so that a queued request is not taken for an unresponsive connection") {
            MAX_QUEUE_WAIT_MS shouldBeLessThan ADMIT_TIMEOUT_MS
        }

        test("an attempt for an earlier incarnation of the daemon is not run") {
            WireFixture(EgressFixture(worker = answering())).use { wire ->
                val result = wire.client.attempt(wire.peer.copy(incarnation = DaemonIncarnation("0-old")), sampleAttempt())
                (result as AttemptResult.NotRun).reason shouldBe NotRunReason.OTHER_INCARNATION
            }
        }

        test("an attempt on a refused connection is reported as not run") {
            WireFixture(EgressFixture(worker = answering())).use { wire ->
                val unusedPort = java.net.ServerSocket(0).use { it.localPort }
                val result = wire.client.attempt(Peer(Address("127.0.0.1", unusedPort), WireFixture.incarnation), sampleAttempt())
                (result as AttemptResult.NotRun).reason shouldBe NotRunReason.DAEMON_UNREACHABLE
            }
        }

        test("an unresponsive connection fails one request, which is fenced and reported as not run") {
            WireFixture(EgressFixture(worker = answering())).use { wire ->
                // Opens both connections to the peer, so that both become unresponsive.
                repeat(2) { wire.client.attempt(wire.peer, sampleAttempt("warm-$it")).bodyBytes() }
                wire.proxy.discardData()
                val started = monotonicMs()
                val results = (1..8).map { wire.client.attempt(wire.peer, sampleAttempt("after-$it")) }
                val answered = results.filterIsInstance<AttemptResult.Answered>().size
                results.filterIsInstance<AttemptResult.Answered>().forEach { it.body.readAllBytes() }
                // Two connections became unresponsive, so at most two requests fail.
                (answered >= 6) shouldBe true
                wire.fixture.runs.get() shouldBe 2 + answered
                (monotonicMs() - started) shouldBeLessThan 10_000
            }
        }

        test("a fenced attempt cannot start") {
            val fixture = EgressFixture(worker = answering())
            fixture.egress.fence(org.endivestep.identity.AttemptId("attempt"), ageMs = 0)
            (fixture.egress.run(sampleAttempt()) { } as AttemptResult.NotRun).reason shouldBe NotRunReason.FENCED
            fixture.runs.get() shouldBe 0
        }

        test("an attempt that is received twice runs once") {
            val fixture = EgressFixture(worker = answering())
            fixture.egress.run(sampleAttempt()) { }.bodyBytes()
            fixture.egress.run(sampleAttempt()) { }.shouldBeInstanceOf<AttemptResult.Unknown>()
            fixture.runs.get() shouldBe 1
        }

        test("an answer that is truncated at any offset is never reported as complete") {
            listOf(0, 1, 20_000, 69_999).forEach { at ->
                val worker = { _: LocalWorker, _: org.endivestep.exchange.AttemptRequest ->
                    WorkerResult.Answered(AnswerHead(200, listOf(HeaderField("Content-Length", "70000"))), TruncatedStream(ByteArray(at))) {
                    }
                }
                WireFixture(EgressFixture(worker = worker)).use { wire ->
                    val result = wire.client.attempt(wire.peer, sampleAttempt())
                    if (result is AttemptResult.Answered) shouldThrow<IOException> { result.bodyBytes() }
                }
            }
        }

        test("an answer whose end is not delimited is not forwarded") {
            val worker = { _: LocalWorker, _: org.endivestep.exchange.AttemptRequest ->
                WorkerResult.Answered(AnswerHead(200, emptyList()), ByteArray(3).inputStream()) { }
            }
            val result = EgressFixture(worker = worker).egress.run(sampleAttempt()) { }
            (result as AttemptResult.Unknown).reason shouldBe org.endivestep.outcome.UnknownReason.UNDELIMITED_ANSWER
        }

        test("a connection that is closed while the worker runs leaves the outcome unknown") {
            val started = CountDownLatch(1)
            val worker = { local: LocalWorker, request: org.endivestep.exchange.AttemptRequest ->
                started.countDown()
                Thread.sleep(1_000)
                answering()(local, request)
            }
            WireFixture(EgressFixture(worker = worker)).use { wire ->
                Thread {
                    started.await(5, TimeUnit.SECONDS)
                    wire.proxy.closeConnections()
                }.start()
                wire.client.attempt(wire.peer, sampleAttempt()).shouldBeInstanceOf<AttemptResult.Unknown>()
            }
        }

        test("a request that reaches its deadline releases its permit at the worker") {
            val never = CountDownLatch(1)
            val worker = { _: LocalWorker, _: org.endivestep.exchange.AttemptRequest ->
                try {
                    never.await()
                    error("the latch is never counted down")
                } catch (_: InterruptedException) {
                    WorkerResult.Cancelled
                }
            }
            WireFixture(EgressFixture(worker = worker)).use { wire ->
                wire.client.attempt(wire.peer, sampleAttempt(remainingMs = 300)).shouldBeInstanceOf<AttemptResult.Unknown>()
                val untilMs = monotonicMs() + 5_000
                while (wire.fixture.inFlight.count > 0 && monotonicMs() < untilMs) Thread.sleep(10)
                wire.fixture.inFlight.count shouldBe 0
                wire.fixture.admission.load.inFlight shouldBe 0
            }
        }
    })

/** Returns [bytes], then throws [IOException]. */
private class TruncatedStream(bytes: ByteArray) : InputStream() {
    private val inner = bytes.inputStream()

    override fun read(): Int {
        val byte = inner.read()
        if (byte < 0) throw IOException("connection closed by the test")
        return byte
    }
}
