package org.endivestep.metrics

import io.micrometer.core.instrument.Counter
import io.micrometer.core.instrument.MeterRegistry
import io.micrometer.core.instrument.Timer
import java.time.Duration
import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.TimeUnit

/** Outcome of a caller's request. Each request has exactly one. */
internal enum class FinalOutcome(val text: String) {
    ANSWERED("answered"),

    /** Answered completely, but after the deadline of its kind. */
    LATE("late"),

    /** The answer began but was cut off by the worker or by the caller. */
    CUT("cut"),
    NOT_RUN("not-run"),
    UNKNOWN("unknown"),
}

/** Labels of one outcome counter. [reason] is empty for answered requests. */
internal data class OutcomeLabel(val service: String, val kind: String, val outcome: FinalOutcome, val reason: String)

/** Counts requests by service, kind, outcome and reason, and records the time to answer by service. Thread-safe. */
internal class OutcomeCounters(private val registry: MeterRegistry) {
    private val counters = ConcurrentHashMap<OutcomeLabel, Counter>()
    private val timers = ConcurrentHashMap<String, Timer>()

    fun count(label: OutcomeLabel) {
        counters.computeIfAbsent(label, ::counter).increment()
    }

    fun time(service: String, elapsedMs: Long) {
        timers.computeIfAbsent(service, ::timer).record(elapsedMs, TimeUnit.MILLISECONDS)
    }

    /** Returns the current value of every counter. */
    fun snapshot(): Map<OutcomeLabel, Long> = counters.mapValues { it.value.count().toLong() }

    private fun counter(label: OutcomeLabel): Counter =
        Counter
            .builder("endivestep.requests")
            .description("Callers' requests by how they ended")
            .tag("service", label.service)
            .tag("kind", label.kind)
            .tag("outcome", label.outcome.text)
            .tag("reason", label.reason)
            .register(registry)

    private fun timer(service: String): Timer =
        Timer
            .builder("endivestep.request.time")
            .description("Time from a caller's request to the end of its answer")
            .tag("service", service)
            .serviceLevelObjectives(*bounds)
            .register(registry)

    private companion object {
        val bounds: Array<Duration> = arrayOf(5L, 20L, 100L, 500L, 2_000L).map(Duration::ofMillis).toTypedArray()
    }
}
