package org.endivestep.daemon

import io.micrometer.core.instrument.MeterRegistry
import org.endivestep.choice.CompletionEstimates
import org.endivestep.choice.KindProfiles
import org.endivestep.choice.Locality
import org.endivestep.choice.earliestCompletion
import org.endivestep.document.Document
import org.endivestep.exchange.monotonicMs
import org.endivestep.identity.AttemptId
import org.endivestep.identity.ServiceName
import org.endivestep.identity.VmName
import org.endivestep.ingress.Dispatcher
import org.endivestep.ingress.IncomingCall
import org.endivestep.ingress.RerouteSettings
import org.endivestep.ingress.RouteCache
import org.endivestep.ingress.StopTime
import org.endivestep.ingress.everyRoute
import org.endivestep.membership.Gossip
import org.endivestep.outcome.AttemptResult
import org.endivestep.outcome.Load
import org.endivestep.outcome.NotRunReason
import org.endivestep.platform.PlatformSettings

/** Sends requests to the workers that are expected to complete them first, for a daemon on the platform. Thread-safe. */
internal class PlatformDispatch(
    settings: PlatformSettings,
    pools: DaemonPools,
    registry: MeterRegistry,
    gossip: Gossip,
    document: () -> Document?,
    peerParts: PeerParts,
    versions: VersionControl?,
    private val profiles: KindProfiles,
    /** Whether the keys of teams may be accepted now. */
    private val keysAreCurrent: () -> Boolean,
    isStopping: () -> Boolean,
) {
    private val estimates = CompletionEstimates(profiles, ::monotonicMs)
    private val locality = Locality(settings.dataCentre, settings.dataCentres[settings.dataCentre].orEmpty())
    private val routes = RouteCache(gossip::members, document, settings.vm)
    val stopTime = StopTime(profiles::usualMs)
    private val dispatcher =
        Dispatcher(
            routes::routes,
            estimates,
            earliestCompletion(locality, estimates),
            RerouteSettings(MAX_REROUTES, REROUTE_MAX_QUEUE_WAIT_MS),
            { stopTime.sendWindowMs(it, monotonicMs()) },
            versions?.let { it::select } ?: everyRoute,
            ::sendRefusal,
            hedging(settings.hedging, pools, registry, { !isStopping() }, estimates::secondAttemptMs),
            peerParts::attempt,
        )

    /** Runs [call] until its outcome is final, see [Dispatcher.dispatch]. */
    fun dispatch(call: IncomingCall, firstAttempt: AttemptId): AttemptResult {
        val result = dispatcher.dispatch(call, firstAttempt)
        if (result is AttemptResult.Answered) result.head.contentLength?.let { profiles.answered(call.kind.name, it) }
        return result
    }

    /** Whether a worker of [service] may receive new requests. */
    fun hasWorker(service: ServiceName): Boolean = routes.routes(service).isNotEmpty()

    /** Records the load that the daemon at [vm] reports for its worker. */
    fun loadReported(vm: VmName, load: Load) = synchronized(estimates) { estimates.report(vm, load) }

    private fun sendRefusal(call: IncomingCall): NotRunReason? =
        if (call.rank.team != null && !keysAreCurrent()) NotRunReason.CONFIGURATION_STALE else null

    private companion object {
        const val MAX_REROUTES = 3
        const val REROUTE_MAX_QUEUE_WAIT_MS = 60L
    }
}
