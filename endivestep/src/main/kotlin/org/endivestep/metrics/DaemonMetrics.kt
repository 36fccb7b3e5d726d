package org.endivestep.metrics

import io.micrometer.core.instrument.Gauge
import io.micrometer.core.instrument.Tags
import io.micrometer.core.instrument.binder.jvm.JvmMemoryMetrics
import io.micrometer.core.instrument.binder.system.ProcessorMetrics
import io.micrometer.prometheusmetrics.PrometheusConfig
import io.micrometer.prometheusmetrics.PrometheusMeterRegistry

/** Metrics of one daemon, in the Prometheus text format. */
internal class DaemonMetrics {
    val registry = PrometheusMeterRegistry(PrometheusConfig.DEFAULT)

    // Bound on the first scrape, because looking up the JVM's own counters is slow and would delay the startup.
    private val processMetrics =
        lazy {
            JvmMemoryMetrics().bindTo(registry)
            ProcessorMetrics().bindTo(registry)
        }

    /** Registers a gauge whose value is read on each scrape. */
    fun gauge(name: String, description: String, tags: Tags = Tags.empty(), read: () -> Number) {
        Gauge.builder(name) { read().toDouble() }.description(description).tags(tags).register(registry)
    }

    fun scrape(): String {
        processMetrics.value
        return registry.scrape()
    }
}
