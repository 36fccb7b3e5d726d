package org.endivestep.protocol

import io.kotest.assertions.withClue
import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.shouldBe
import org.endivestep.egress.WorkerCall
import org.endivestep.exchange.AttemptRequest
import org.endivestep.exchange.Deadline
import org.endivestep.exchange.RequestBody
import org.endivestep.exchange.monotonicMs
import org.endivestep.fakes.EgressFixture
import org.endivestep.fakes.LinkFault
import org.endivestep.fakes.WireFixture
import org.endivestep.fakes.answering
import org.endivestep.identity.AttemptId
import org.endivestep.identity.DaemonIncarnation
import org.endivestep.identity.Fingerprint
import org.endivestep.identity.KindName
import org.endivestep.identity.RequestId
import org.endivestep.identity.ServiceName
import org.endivestep.outcome.AttemptResult
import org.endivestep.protocol.v1.ExchangesGrpc
import org.endivestep.protocol.v1.FenceRequest
import java.util.concurrent.atomic.AtomicInteger
import kotlin.concurrent.thread

private const val ADMIT_MS = WireFixture.ADMIT_TIMEOUT_MS
private const val WORK_MS = 2 * ADMIT_MS
private const val NO_NOTICE_MS = 60_000L

private fun AttemptResult.summary(): String =
    when (this) {
        is AttemptResult.Answered -> "answered ${body.use { it.readAllBytes() }.decodeToString()}"
        is AttemptResult.Unknown -> "unknown $reason"
        is AttemptResult.NotRun -> "not run $reason"
    }

private fun attempt(remainingMs: Long, mayRepeat: Boolean) =
    AttemptRequest(
        requestId = RequestId("request"),
        attemptId = AttemptId("attempt"),
        service = ServiceName("bestel"),
        kind = KindName("order"),
        method = "POST",
        path = "/orders",
        headers = emptyList(),
        body = RequestBody.Inline(ByteArray(0)),
        deadline = Deadline(monotonicMs() + remainingMs),
        fingerprint = Fingerprint("print"),
        reserveRepeat = { mayRepeat },
    )

/** Opens both connections to the other daemon. */
private fun connect(wire: WireFixture) {
    val question = FenceRequest.newBuilder().setAttemptId("connect").setDaemonIncarnation(WireFixture.incarnation.text).build()
    repeat(2) { ExchangesGrpc.newBlockingStub(wire.channels.next(wire.peer)).fence(question) }
}

/** Delays questions and answers by more than the first of them is awaited for. */
private fun slowDown(wire: WireFixture) {
    wire.proxy.fault = LinkFault(delayMs = ADMIT_MS * 2)
}

class AttemptStartTest :
    FunSpec({
        // Guards against an attempt that is broken off while its worker runs it, because nothing was heard of it in time (issue 57).
        test("an attempt of which nothing is heard ends as the other daemon knows of its start") {
            class Case(
                val name: String,
                val expected: String,
                val runs: Int,
                val workMs: Long = WORK_MS,
                val mayRepeat: Boolean = false,
                val startDelayMs: Long = 0,
                val remainingMs: Long = 5_000,
                val duringAttempt: (WireFixture) -> Unit = { },
            )
            listOf(
                Case("at work", "answered whole", runs = 1),
                Case("at work, and may be repeated", "answered whole", runs = 1, mayRepeat = true),
                Case("waits for a thread", "not run FENCED", runs = 0, startDelayMs = 3 * ADMIT_MS),
                Case("at work, on connections that become slow", "answered whole", runs = 1, duringAttempt = ::slowDown),
                Case(
                    "at work, on connections that become slow, and may be repeated",
                    "unknown NO_RESPONSE",
                    runs = 1,
                    mayRepeat = true,
                    duringAttempt = ::slowDown,
                ),
                Case("the connection ends while at work", "unknown CONNECTION_LOST", runs = 1) { it.proxy.closeConnections() },
                Case("the connection ends before the start", "not run FENCED", runs = 0, startDelayMs = 3 * ADMIT_MS) {
                    it.proxy.resetConnections()
                },
                Case("the daemon takes another generation while at work", "answered whole", runs = 1) {
                    it.currentIncarnation = DaemonIncarnation("7-run")
                },
                Case("the daemon has restarted, and its earlier run had still answered", "answered whole", runs = 1) {
                    it.currentIncarnation = DaemonIncarnation("8-later")
                },
                Case(
                    "the daemon has restarted, and nothing more comes of its earlier run",
                    "unknown CONNECTION_LOST",
                    1,
                    workMs =
                    4 * WORK_MS,
                ) {
                    it.currentIncarnation = DaemonIncarnation("8-later")
                },
                Case(
                    "the deadline passes while nothing is heard",
                    "unknown TIMEOUT",
                    runs = 1,
                    workMs = 4 * WORK_MS,
                    remainingMs = WORK_MS,
                ),
            ).forEach { case ->
                val begun = AtomicInteger()
                val worker: WorkerCall = { local, request ->
                    begun.incrementAndGet()
                    Thread.sleep(case.workMs)
                    answering()(local, request)
                }
                WireFixture(EgressFixture(worker = worker), noticeAgeMs = NO_NOTICE_MS, startDelayMs = case.startDelayMs).use { wire ->
                    connect(wire)
                    thread {
                        Thread.sleep(ADMIT_MS / 2)
                        case.duringAttempt(wire)
                    }
                    val result = wire.client.attempt(
                        wire.peer,
                        attempt(case.remainingMs, case.mayRepeat),
                    ).summary()
                    Thread.sleep(case.startDelayMs)
                    withClue(case.name) {
                        result shouldBe case.expected
                        begun.get() shouldBe case.runs
                    }
                }
            }
        }
    })
