package org.endivestep.daemon

import org.endivestep.choice.KindProfiles
import org.endivestep.document.Document
import org.endivestep.exchange.monotonicMs
import org.endivestep.ingress.CallerReply
import org.endivestep.ingress.CallerRequest
import org.endivestep.ingress.RetryDelays
import org.endivestep.ingress.RoutedIngress
import org.endivestep.ingress.StartupHold
import org.endivestep.ingress.WeightedChoice
import org.endivestep.metrics.OutcomeCounters
import org.endivestep.platform.PlatformSettings
import org.endivestep.platform.platformHeaders
import java.util.random.RandomGenerator

/** Answers the callers of a daemon on the platform; holds their requests while the daemon starts. Thread-safe. */
internal class PlatformIngress(
    settings: PlatformSettings,
    random: RandomGenerator,
    document: () -> Document?,
    dispatch: PlatformDispatch,
    duties: DatagramDuties,
    profiles: KindProfiles,
    counters: OutcomeCounters,
    configurationVersion: () -> Long,
) {
    private val retryDelays = RetryDelays(profiles, random)
    val routed =
        RoutedIngress(
            settings.service,
            platformHeaders,
            document,
            WeightedChoice(random),
            dispatch::dispatch,
            retryDelays::delayMs,
            counters,
            duties::keysAreCurrent,
            duties.quotas::admit,
            configurationVersion,
        )
    private val startupHold =
        StartupHold(platformHeaders, ::monotonicMs, { request -> routed.canServe(request, dispatch::hasWorker) })

    /** Answers [request]; blocks. Throws [InterruptedException] when the caller disconnects. */
    fun answer(request: CallerRequest): CallerReply {
        startupHold.hold(request)
        return routed.answer(request)
    }
}
