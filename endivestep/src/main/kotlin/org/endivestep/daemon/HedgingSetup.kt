package org.endivestep.daemon

import io.github.oshai.kotlinlogging.KotlinLogging
import io.micrometer.core.instrument.MeterRegistry
import org.endivestep.exchange.monotonicMs
import org.endivestep.ingress.Hedging
import org.endivestep.ingress.SecondWorkerEstimate
import org.endivestep.metrics.HedgeCounters
import org.endivestep.retry.HedgePolicy
import org.endivestep.retry.HedgeSettings

private val logger = KotlinLogging.logger {}

/** Returns what sends second attempts of slow requests, or null when [settings] do not ask for it. */
internal fun hedging(
    settings: HedgeSettings,
    pools: DaemonPools,
    registry: MeterRegistry,
    isAllowed: () -> Boolean,
    secondMs: SecondWorkerEstimate,
): Hedging? {
    if (!settings.isEnabled) return null
    logger.info { "up to ${settings.extraShare} of the requests of each service may be sent a second time when they are slow" }
    val policy = HedgePolicy(settings, ::monotonicMs)
    return Hedging(policy, pools.secondTimer, pools.secondAttempts, HedgeCounters(registry), isAllowed, secondMs)
}
