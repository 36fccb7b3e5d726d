package org.endivestep.metrics

import io.micrometer.core.instrument.Counter
import io.micrometer.core.instrument.MeterRegistry

/** What happened with a second attempt. */
internal enum class HedgeEvent(val text: String) {
    SENT("sent"),

    /** It responded before the first attempt. */
    WON("won"),

    /** It was cancelled, because the first attempt responded. */
    CANCELLED("cancelled"),

    /** Not sent: the share of the service or its retry budget was used up. */
    REFUSED_BUDGET("refused-budget"),

    /** Not sent: no other worker with a free slot was expected to respond in time and clearly sooner. */
    REFUSED_WORKER("refused-worker"),
}

/** Counts second attempts. Thread-safe. */
internal class HedgeCounters(registry: MeterRegistry) {
    private val counters: Map<HedgeEvent, Counter> =
        HedgeEvent.entries.associateWith {
            Counter
                .builder("endivestep.second.attempts")
                .description("Second attempts of requests whose first one was slow")
                .tag("event", it.text)
                .register(registry)
        }

    fun count(event: HedgeEvent) = counters.getValue(event).increment()

    fun value(event: HedgeEvent): Long = counters.getValue(event).count().toLong()
}
