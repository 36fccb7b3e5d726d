package org.endivestep.fakes

import io.micrometer.core.instrument.simple.SimpleMeterRegistry
import org.endivestep.document.Kind
import org.endivestep.exchange.monotonicMs
import org.endivestep.identity.ServiceName
import org.endivestep.ingress.Hedging
import org.endivestep.metrics.HedgeCounters
import org.endivestep.metrics.HedgeEvent
import org.endivestep.retry.HedgePolicy
import org.endivestep.retry.HedgeSettings
import java.io.Closeable
import java.util.concurrent.Executors

/**
 * Sends second attempts of the idempotent kinds of the sample document's service `bestel` after [usualMs], for which the responses
 * of nearly all requests took [usualMs] and those of a few [HEDGED_SLOW_MS].
 */
internal class HedgingFixture(
    extraShare: Double = 1.0,
    usualMs: Long = 10,
    secondMs: Double? = 5.0,
    knowsTimes: Boolean = true,
    isAllowed: () -> Boolean = { true },
) : Closeable {
    private val timer = Executors.newScheduledThreadPool(1)
    private val threads = Executors.newCachedThreadPool()
    private val counters = HedgeCounters(SimpleMeterRegistry())
    private val policy = HedgePolicy(HedgeSettings(extraShare), ::monotonicMs)
    val hedging = Hedging(policy, timer, threads, counters, isAllowed) { _, _ -> secondMs }

    init {
        val service = ServiceName("bestel")
        if (knowsTimes) {
            sampleDocument().services.getValue(service).kinds.filter(Kind::idempotent).forEach { kind ->
                repeat(USUAL_RESPONSES) { policy.noteResponse(service, kind.name, usualMs) }
                repeat(SLOW_RESPONSES) { policy.noteResponse(service, kind.name, HEDGED_SLOW_MS) }
            }
        }
    }

    fun count(event: HedgeEvent): Long = counters.value(event)

    override fun close() {
        timer.shutdownNow()
        threads.shutdownNow()
    }

    private companion object {
        const val USUAL_RESPONSES = 1_000
        const val SLOW_RESPONSES = 20
    }
}

internal const val HEDGED_SLOW_MS = 3_000L
