package org.endivestep.matrix

import io.micrometer.core.instrument.simple.SimpleMeterRegistry
import org.endivestep.choice.Candidate
import org.endivestep.choice.LoadView
import org.endivestep.claim.ClaimTaskExecutor
import org.endivestep.claim.Claims
import org.endivestep.egress.WorkerCall
import org.endivestep.exchange.AttemptRequest
import org.endivestep.exchange.monotonicMs
import org.endivestep.fakes.EgressFixture
import org.endivestep.fakes.FakeStore
import org.endivestep.fakes.StoreCall
import org.endivestep.fakes.StoreFault
import org.endivestep.fakes.answering
import org.endivestep.fakes.sampleDocument
import org.endivestep.identity.DaemonIncarnation
import org.endivestep.identity.DataCentreName
import org.endivestep.identity.VmName
import org.endivestep.ingress.AttemptCall
import org.endivestep.ingress.Dispatcher
import org.endivestep.ingress.Ingress
import org.endivestep.ingress.Route
import org.endivestep.metrics.OutcomeCounters
import org.endivestep.outcome.AttemptResult
import org.endivestep.outcome.OutcomeHeaders
import org.endivestep.protocol.Peer
import org.endivestep.settings.Address
import org.http4k.core.Method
import org.http4k.core.Request
import java.io.IOException
import java.io.InputStream

/** Outcome of a request as its caller sees it. */
internal enum class CallerOutcome { ANSWERED, NOT_RUN, UNKNOWN, CUT, NO_RESPONSE }

internal const val ANSWER_TEXT = "whole answer"

/** Two ingresses in front of two egresses with a worker each, connected by functions into which faults are injected. */
internal class FaultMatrixFixture : AutoCloseable {
    /** Faults of the store calls that claim a key, one for each call in this order. */
    val claimFaults = ArrayDeque<StoreFault>()

    /** Faults of the store calls that record the result of a claim, one for each call in this order. */
    val recordFaults = ArrayDeque<StoreFault>()
    val store = FakeStore { call -> nextFault(call) }

    /** Worker of [near], which is tried first, and worker of [far], which is tried next. */
    var firstWorker: WorkerCall = answering(ANSWER_TEXT.toByteArray())
    var secondWorker: WorkerCall = answering(ANSWER_TEXT.toByteArray())

    /** Transport between an ingress and the egress of [near]. */
    var transport: AttemptCall = { route, request -> run(route, request) }

    /** Opens the request body of an order. */
    var body: () -> InputStream = { "one board".byteInputStream() }

    val near = EgressFixture(dataCentre = "haarlem", worker = { localWorker, request -> firstWorker(localWorker, request) })
    val far =
        EgressFixture(
            dataCentre = "katwijk",
            quarantine = near.quarantine,
            worker = { localWorker, request -> secondWorker(localWorker, request) },
        )
    private val claims = Claims(store, VmName("ingress"), { 0 })
    private val claimTasks = ClaimTaskExecutor(claims) { }
    private val routes =
        listOf("haarlem" to "near", "katwijk" to "far").mapIndexed { index, (centreName, vm) ->
            val candidate = Candidate(VmName(vm), DataCentreName(centreName), "nl-west")
            Route(candidate, Peer(Address("127.0.0.1", index + 1), DaemonIncarnation("1-$vm")), isLocal = false)
        }
    private val ingresses = List(2) { ingress() }

    val runs: Int get() = near.runs.get() + far.runs.get()

    fun run(route: Route, request: AttemptRequest): AttemptResult =
        if (route.candidate.vm.text == "near") near.egress.run(request) { } else far.egress.run(request) { }

    /** Sends an order with an idempotency key through the ingress with index [through]. */
    fun order(through: Int = 0): CallerOutcome {
        val request =
            Request(Method.POST, "/orders")
                .header(OutcomeHeaders.SERVICE, "bestel")
                .header(OutcomeHeaders.IDEMPOTENCY_KEY, "key")
                .body(body(), null)
        return send(ingresses[through], request)
    }

    fun read(): CallerOutcome = send(ingresses[0], Request(Method.GET, "/").header(OutcomeHeaders.SERVICE, "bestel"))

    /**
     * Applies late writes and waits at most [PENDING_WRITES_TIMEOUT_MS] for the queued claim records. The extra pause lets the last one be
     * written, which no longer counts in the backlog.
     */
    fun applyPendingWrites() {
        store.applyLateWrites()
        val deadlineMs = monotonicMs() + PENDING_WRITES_TIMEOUT_MS
        while (claimTasks.backlog > 0 && monotonicMs() < deadlineMs) Thread.sleep(1)
        Thread.sleep(LAST_WRITE_PAUSE_MS)
    }

    /** Removes all pending store faults. */
    fun endStoreFaults() {
        synchronized(claimFaults) { claimFaults.clear() }
        synchronized(recordFaults) { recordFaults.clear() }
    }

    override fun close() = claimTasks.stop()

    private fun nextFault(call: StoreCall): StoreFault {
        val faults = if (call == StoreCall.REPLACE) recordFaults else claimFaults
        return synchronized(faults) { faults.removeFirstOrNull() ?: StoreFault.NONE }
    }

    private fun send(ingress: Ingress, request: Request): CallerOutcome {
        val response =
            try {
                ingress.handle(request)
            } catch (_: IOException) {
                return CallerOutcome.NO_RESPONSE
            }
        return when (response.header(OutcomeHeaders.OUTCOME)) {
            "answered" -> readAnswer(response.body.stream)
            "not-run" -> CallerOutcome.NOT_RUN
            else -> CallerOutcome.UNKNOWN
        }
    }

    private fun readAnswer(stream: InputStream): CallerOutcome =
        try {
            val text = stream.use { it.readAllBytes() }.decodeToString()
            check(text == ANSWER_TEXT) { "unexpected answer body: \"$text\"" }
            CallerOutcome.ANSWERED
        } catch (_: IOException) {
            CallerOutcome.CUT
        }

    private fun ingress(): Ingress {
        val dispatcher =
            Dispatcher({ routes }, LoadView(::monotonicMs), { _, candidates -> candidates.first() }) { route, request ->
                if (route.candidate.vm.text == "near") transport(route, request) else run(route, request)
            }
        return Ingress({ sampleDocument() }, dispatcher, claims, claimTasks, OutcomeCounters(SimpleMeterRegistry()))
    }

    private companion object {
        const val PENDING_WRITES_TIMEOUT_MS = 2_000L
        const val LAST_WRITE_PAUSE_MS = 2L
    }
}
