package org.endivestep.matrix

import io.micrometer.core.instrument.simple.SimpleMeterRegistry
import org.endivestep.choice.Candidate
import org.endivestep.choice.LoadView
import org.endivestep.claim.ClaimKeeper
import org.endivestep.claim.Claims
import org.endivestep.egress.WorkerCall
import org.endivestep.exchange.AttemptRequest
import org.endivestep.exchange.monotonicMs
import org.endivestep.fakes.EgressBench
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

/** What a caller is left with. */
internal enum class Told { ANSWERED, NOT_RUN, UNKNOWN, CUT, NOTHING }

internal const val WHOLE = "whole answer"

/** Two ingress daemons before two workers, joined by functions in which faults are put. */
internal class MatrixBench : AutoCloseable {
    /** Faults of the store calls that claim a key, in turn. */
    val claimFaults = ArrayDeque<StoreFault>()

    /** Faults of the store calls that record what became of a claim, in turn. */
    val recordFaults = ArrayDeque<StoreFault>()
    val store = FakeStore { call -> nextFault(call) }

    /** Worker that is chosen first, and the one that is tried next. */
    var first: WorkerCall = answering(WHOLE.toByteArray())
    var second: WorkerCall = answering(WHOLE.toByteArray())

    /** Between ingress and the first egress. */
    var wire: AttemptCall = { route, request -> run(route, request) }

    /** Opens the body of a caller's order. */
    var body: () -> InputStream = { "one board".byteInputStream() }

    val near = EgressBench(dataCentre = "haarlem", worker = { address, request -> first(address, request) })
    val far = EgressBench(dataCentre = "katwijk", quarantine = near.quarantine, worker = { address, request -> second(address, request) })
    private val claims = Claims(store, VmName("ingress"), { 0 })
    private val keeper = ClaimKeeper(claims) { }
    private val routes =
        listOf("haarlem" to "near", "katwijk" to "far").mapIndexed { index, (centre, vm) ->
            val candidate = Candidate(VmName(vm), DataCentreName(centre), "nl-west")
            Route(candidate, Peer(Address("127.0.0.1", index + 1), DaemonIncarnation("1-$vm")), isLocal = false)
        }
    private val ingresses = List(2) { ingress() }

    val runs: Int get() = near.runs.get() + far.runs.get()

    fun run(route: Route, request: AttemptRequest): AttemptResult =
        if (route.candidate.vm.text == "near") near.egress.run(request) { } else far.egress.run(request) { }

    /** Sends an order with a key through one of two daemons. */
    fun order(through: Int = 0): Told {
        val request =
            Request(Method.POST, "/orders")
                .header(OutcomeHeaders.SERVICE, "bestel")
                .header(OutcomeHeaders.IDEMPOTENCY_KEY, "key")
                .body(body(), null)
        return tell(ingresses[through], request)
    }

    fun read(): Told = tell(ingresses[0], Request(Method.GET, "/").header(OutcomeHeaders.SERVICE, "bestel"))

    /** Lets late writes and queued claim records settle. */
    fun settle() {
        store.settle()
        val untilMs = monotonicMs() + SETTLE_MS
        while (keeper.backlog > 0 && monotonicMs() < untilMs) Thread.sleep(1)
        Thread.sleep(SETTLE_PAUSE_MS)
    }

    /** The store works from now on. */
    fun endStoreFaults() {
        synchronized(claimFaults) { claimFaults.clear() }
        synchronized(recordFaults) { recordFaults.clear() }
    }

    override fun close() = keeper.stop()

    private fun nextFault(call: StoreCall): StoreFault {
        val faults = if (call == StoreCall.REPLACE) recordFaults else claimFaults
        return synchronized(faults) { faults.removeFirstOrNull() ?: StoreFault.NONE }
    }

    private fun tell(ingress: Ingress, request: Request): Told {
        val response =
            try {
                ingress.handle(request)
            } catch (_: IOException) {
                return Told.NOTHING
            }
        return when (response.header(OutcomeHeaders.OUTCOME)) {
            "answered" -> readWhole(response.body.stream)
            "not-run" -> Told.NOT_RUN
            else -> Told.UNKNOWN
        }
    }

    private fun readWhole(stream: InputStream): Told =
        try {
            val text = stream.use { it.readAllBytes() }.decodeToString()
            check(text == WHOLE) { "the answer is \"$text\"" }
            Told.ANSWERED
        } catch (_: IOException) {
            Told.CUT
        }

    private fun ingress(): Ingress {
        val dispatcher =
            Dispatcher({ routes }, LoadView(::monotonicMs), { _, candidates -> candidates.first() }) { route, request ->
                if (route.candidate.vm.text == "near") wire(route, request) else run(route, request)
            }
        return Ingress({ sampleDocument() }, dispatcher, claims, keeper, OutcomeCounters(SimpleMeterRegistry()))
    }

    private companion object {
        const val SETTLE_MS = 2_000L
        const val SETTLE_PAUSE_MS = 2L
    }
}
