package org.endivestep.ingress

import io.kotest.assertions.withClue
import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.booleans.shouldBeFalse
import io.kotest.matchers.booleans.shouldBeTrue
import io.kotest.matchers.collections.shouldBeUnique
import io.kotest.matchers.ints.shouldBeLessThanOrEqual
import io.kotest.property.Arb
import io.kotest.property.arbitrary.boolean
import io.kotest.property.arbitrary.enum
import io.kotest.property.arbitrary.list
import io.kotest.property.checkAll
import org.endivestep.choice.Candidate
import org.endivestep.choice.LoadView
import org.endivestep.exchange.Deadline
import org.endivestep.exchange.RequestBody
import org.endivestep.exchange.monotonicMs
import org.endivestep.fakes.fuzz
import org.endivestep.fakes.roundRobin
import org.endivestep.fakes.sampleDocument
import org.endivestep.identity.AttemptId
import org.endivestep.identity.DaemonIncarnation
import org.endivestep.identity.DataCentreName
import org.endivestep.identity.Fingerprint
import org.endivestep.identity.RequestId
import org.endivestep.identity.ServiceName
import org.endivestep.identity.VmName
import org.endivestep.outcome.AnswerHead
import org.endivestep.outcome.AttemptResult
import org.endivestep.outcome.NotRunReason
import org.endivestep.outcome.UnknownReason
import org.endivestep.protocol.Peer
import org.endivestep.settings.Address

private enum class SimulatedResult(val ran: Boolean, val mayHaveRun: Boolean) {
    ANSWERED(true, true),
    OVERLOADED(false, false),
    QUARANTINED(false, false),
    UNREACHABLE(false, false),
    LOST_BEFORE_RUN(false, true),
    LOST_AFTER_RUN(true, true),
}

private fun attemptResult(simulated: SimulatedResult): AttemptResult =
    when (simulated) {
        SimulatedResult.ANSWERED -> AttemptResult.Answered(AnswerHead(200, emptyList()), ByteArray(0).inputStream(), null)
        SimulatedResult.OVERLOADED -> AttemptResult.NotRun(NotRunReason.OVERLOADED)
        SimulatedResult.QUARANTINED -> AttemptResult.NotRun(NotRunReason.QUARANTINED)
        SimulatedResult.UNREACHABLE -> AttemptResult.NotRun(NotRunReason.DAEMON_UNREACHABLE)
        SimulatedResult.LOST_BEFORE_RUN, SimulatedResult.LOST_AFTER_RUN -> AttemptResult.Unknown(UnknownReason.CONNECTION_LOST)
    }

internal fun routesOf(count: Int): List<Route> =
    (0 until count).map {
        val candidate = Candidate(VmName("vm-$it"), DataCentreName("haarlem"), "nl-west")
        Route(candidate, Peer(Address("127.0.0.1", 1 + it), DaemonIncarnation("1-$it")), isLocal = false)
    }

internal fun sampleCall(
    idempotent: Boolean,
    deadlineMs: Long = monotonicMs() + 10_000,
    body: RequestBody = RequestBody.Inline(ByteArray(0)),
    maxAttempts: Int = 3,
): IncomingCall {
    val service = sampleDocument().services.getValue(ServiceName("bestel"))
    return IncomingCall(
        id = RequestId("request"),
        service = service,
        kind = service.kinds.first { it.idempotent == idempotent },
        method = "POST",
        path = "/orders",
        headers = emptyList(),
        body = body,
        startMs = monotonicMs(),
        deadline = Deadline(deadlineMs),
        idempotencyKey = null,
        fingerprint = Fingerprint("print"),
        maxAttempts = maxAttempts,
    )
}

class DispatcherModelTest :
    FunSpec({
        test("a request reported as not run never ran, and only idempotent requests are retried after an unknown outcome") {
            checkAll(fuzz(), Arb.list(Arb.enum<SimulatedResult>(), 1..6), Arb.boolean()) { results, idempotent ->
                val returned = mutableListOf<SimulatedResult>()
                val vms = mutableListOf<VmName>()
                val remaining = ArrayDeque(results)
                val dispatcher =
                    Dispatcher({ routesOf(results.size) }, LoadView(::monotonicMs), roundRobin()) { route, _ ->
                        vms += route.candidate.vm
                        attemptResult(remaining.removeFirst().also { returned += it })
                    }
                val outcome = dispatcher.dispatch(sampleCall(idempotent), AttemptId("first"))
                vms.shouldBeUnique()
                vms.size shouldBeLessThanOrEqual 3
                if (outcome is AttemptResult.NotRun) withClue("returned $returned") { returned.any { it.mayHaveRun }.shouldBeFalse() }
                if (!idempotent) withClue("returned $returned") { returned.dropLast(1).any { it.mayHaveRun }.shouldBeFalse() }
                if (returned.last() == SimulatedResult.ANSWERED) (outcome is AttemptResult.Answered).shouldBeTrue()
            }
        }

        test("retries stay within the budget of the service") {
            var attempts = 0
            val dispatcher =
                Dispatcher({ routesOf(5) }, LoadView(::monotonicMs), roundRobin()) { _, _ ->
                    attempts++
                    attemptResult(SimulatedResult.OVERLOADED)
                }
            val requests = 200
            repeat(requests) { dispatcher.dispatch(sampleCall(true), AttemptId("a$it")) }
            val reserve = sampleCall(true).service.retry.reserve
            attempts shouldBeLessThanOrEqual requests + reserve
        }
    })
