package org.endivestep.daemon

import io.github.oshai.kotlinlogging.KotlinLogging
import io.netty.channel.nio.NioEventLoopGroup
import org.endivestep.choice.CompletionEstimates
import org.endivestep.choice.KindProfiles
import org.endivestep.choice.Locality
import org.endivestep.choice.earliestCompletion
import org.endivestep.configuration.ConfigurationAdoption
import org.endivestep.configuration.ConfigurationFetcher
import org.endivestep.configuration.Overrides
import org.endivestep.configuration.offerAndLog
import org.endivestep.document.CallerLimits
import org.endivestep.document.Document
import org.endivestep.egress.Egress
import org.endivestep.egress.nettyWorkerCall
import org.endivestep.egress.noObserver
import org.endivestep.exchange.monotonicMs
import org.endivestep.http.HttpConnectionPool
import org.endivestep.identity.AttemptId
import org.endivestep.ingress.CallerReply
import org.endivestep.ingress.CallerRequest
import org.endivestep.ingress.Dispatcher
import org.endivestep.ingress.IncomingCall
import org.endivestep.ingress.RerouteSettings
import org.endivestep.ingress.RetryDelays
import org.endivestep.ingress.RouteCache
import org.endivestep.ingress.RoutedIngress
import org.endivestep.ingress.StartupHold
import org.endivestep.ingress.StopTime
import org.endivestep.ingress.WeightedChoice
import org.endivestep.ingress.everyRoute
import org.endivestep.membership.Gossip
import org.endivestep.membership.GossipProtocol
import org.endivestep.membership.GossipSettings
import org.endivestep.metrics.AdmissionMetrics
import org.endivestep.metrics.DaemonMetrics
import org.endivestep.metrics.OutcomeCounters
import org.endivestep.outcome.AttemptResult
import org.endivestep.outcome.NotRunReason
import org.endivestep.platform.PlatformSettings
import org.endivestep.platform.healthCall
import org.endivestep.platform.platformAnswerInterpreter
import org.endivestep.platform.platformHeaders
import org.endivestep.platform.platformStore
import org.endivestep.platform.readOperatorDocument
import org.endivestep.probe.StartupProbe
import org.endivestep.protocol.AdmissionNotices
import org.endivestep.protocol.FreshnessDatagrams
import org.endivestep.protocol.GossipCodec
import org.endivestep.protocol.LoadNoticeRecipients
import org.endivestep.protocol.LoadNotices
import org.endivestep.protocol.PeerAuthentication
import org.endivestep.protocol.PeerChannels
import org.endivestep.protocol.QuotaCodec
import org.endivestep.protocol.RecentSenders
import org.endivestep.protocol.RolloutDatagrams
import org.endivestep.protocol.callExecutorSupplier
import org.endivestep.protocol.senderInterceptor
import org.endivestep.quota.QuotaMetrics
import org.endivestep.quota.QuotaService
import org.endivestep.quota.QuotaTolerance
import org.endivestep.rollout.everyVersionPermitted
import org.endivestep.settings.Address
import org.endivestep.store.CurrentStoreEra
import org.endivestep.store.StoreEra
import org.endivestep.store.firstStoreEra
import java.util.random.RandomGenerator

private val logger = KotlinLogging.logger {}

private const val FENCE_RETENTION_MS = 120_000L
private const val STORE_TIMEOUT_MS = 1_000L
private const val CONNECT_TIMEOUT_MS = 500
private const val HEALTH_TIMEOUT_MS = 500L

// A VM gives its daemon less than one core, so more threads would only cost more changes between them.
private const val EVENT_LOOP_THREADS = 1

/** A daemon on the platform: connects its components to the message formats and the store of the platform. */
internal class PlatformDaemon(private val settings: PlatformSettings) {
    private val inner = Address(settings.host, settings.ports.first)
    private val metrics = DaemonMetrics()
    private val counters = OutcomeCounters(metrics.registry)
    private val admissionMetrics = AdmissionMetrics(metrics.registry, ::monotonicMs)
    private val random = RandomGenerator.of("L64X128MixRandom")
    private val pools = DaemonPools()
    private val loops = NioEventLoopGroup(EVENT_LOOP_THREADS)
    private val connections = HttpConnectionPool(loops, CONNECT_TIMEOUT_MS)
    private val security = PeerAuthentication("endivestep at ${settings.store}")
    private val storeEra: CurrentStoreEra = CurrentStoreEra { storeDuties.restored() }
    private val store = platformStore(settings.store, connections, STORE_TIMEOUT_MS, storeEra)
    private val overrides: Overrides = Overrides(System::currentTimeMillis) { applier.overridden() }
    private val adoption: ConfigurationAdoption =
        ConfigurationAdoption({ name, text -> readOperatorDocument(name, text, documentDefaults(settings)) }) {
            applier.adopted(it)
            quotas.startIfNeeded()
        }
    private val profiles = KindProfiles()
    private val workerParts = WorkerParts(limitsBeforeHeartbeat, quarantineSettings, { FENCE_RETENTION_MS }) { supervisor.workerDied(it) }
    private val versions = settings.bounds.rollOut?.let { VersionControl(metrics, workerParts.workers) }
    private val egress =
        Egress(
            settings.dataCentre,
            ::document,
            workerParts.admission,
            workerParts.workers,
            workerParts.attempts,
            workerParts.crashes,
            platformAnswerInterpreter,
            permitsVersion = versions?.let { it::permits } ?: everyVersionPermitted,
            observer = versions ?: noObserver,
            onAdmission = admissionMetrics::record,
            call = nettyWorkerCall(connections, platformHeaders),
        )
    private val peerParts = PeerParts(egress, PeerChannels(security, loops), pools)
    private val protocol =
        GossipProtocol(
            initialMemberInfo(settings.vm, inner, settings.dataCentre),
            random,
            GossipSettings(),
            overrides::entries,
            ::knownEra,
            workerParts.crashes::suspicions,
        ) {
            adoption.position
        }
    private val gossip: Gossip = Gossip(protocol, GossipCodec(security), udpSocket(inner), ::monotonicMs) { gossipActions.perform(it) }
    private val supervisor: WorkerSupervisor =
        WorkerSupervisor(workerParts, gossip, ::document, settings.heartbeatIntervalMs * VALID_HEARTBEATS)
    private val applier: ConfigurationApplier =
        ConfigurationApplier(settings.dataCentre, overrides, workerParts.quarantine, supervisor, workerParts.admission, gossip)
    private val fetcher = ConfigurationFetcher(adoption, peerParts.control::fetchConfiguration, adoption::offerAndLog)
    private val gossipActions: GossipActions =
        GossipActions(gossip, pools, peerParts, supervisor, overrides, fetcher::fetchFrom) { storeEra.observe(it, "another daemon") }
    private val storeDuties: StoreDuties =
        StoreDuties(store, gossip, random, adoption, overrides, { peerParts.synchronize(gossip, it) }) { rollouts?.refresh() }
    private val heartbeatReceiver = HeartbeatReceiver(settings.service, settings.worker, workerParts.workers, supervisor::announce)
    private val retryDelays = RetryDelays(profiles, random)
    private val estimates = CompletionEstimates(profiles, ::monotonicMs)
    private val locality = Locality(settings.dataCentre, settings.dataCentres[settings.dataCentre].orEmpty())
    private val stopTime = StopTime(profiles::usualMs)
    private val routes = RouteCache(gossip::members, ::document, settings.vm)
    private val dispatcher =
        Dispatcher(
            routes::routes,
            estimates,
            earliestCompletion(locality, estimates),
            RerouteSettings(MAX_REROUTES, REROUTE_MAX_QUEUE_WAIT_MS),
            { stopTime.sendWindowMs(it, monotonicMs()) },
            versions?.let { it::select } ?: everyRoute,
            ::sendRefusal,
            hedging(settings.hedging, pools, metrics.registry, { !stopping }, estimates::secondAttemptMs),
            peerParts::attempt,
        )
    private val senders = RecentSenders(::monotonicMs)
    private val notices =
        LoadNotices(
            udpSocket(inner, LoadNotices.PORT_OFFSET),
            settings.vm,
            LoadNoticeRecipients(settings.vm, settings.dataCentre, { gossip.members }, senders),
            { workerParts.admission.load },
            { vm, load -> synchronized(estimates) { estimates.report(vm, load) } },
        )
    private val rollouts: RolloutDuties? = versions?.let(::rolloutDuties)
    private val freshness =
        settings.bounds.keyRevocationMs?.let {
            val socket = udpSocket(inner, FreshnessDatagrams.PORT_OFFSET)
            FreshnessDuties(it, gossip, adoption, fetcher, ::document, storeDuties::confirmedPosition, socket, random)
        }
    private val quotas: QuotaService =
        QuotaService(
            inner,
            QuotaCodec(security),
            { gossip.self },
            { gossip.members },
            ::document,
            settings.bounds.quota?.let { QuotaTolerance(it.windowMs, it.overshoot, it.slack) } ?: QuotaTolerance(),
            QuotaMetrics(metrics.registry),
        )
    private val ingress =
        RoutedIngress(
            settings.service,
            platformHeaders,
            ::document,
            WeightedChoice(random),
            ::dispatch,
            retryDelays::delayMs,
            counters,
            ::keysAreCurrent,
            quotas::admit,
        ) { adoption.version.number }
    private val startupHold =
        StartupHold(platformHeaders, ::monotonicMs, { request -> ingress.canServe(request) { routes.routes(it).isNotEmpty() } })
    private val admissionNotices = AdmissionNotices(::monotonicMs)
    private val innerServer =
        innerServer(
            inner,
            listOf(senderInterceptor(senders), security.serverInterceptor { }),
            callExecutorSupplier(pools.transport),
            peerParts.services(gossip, adoption, counters, overrides, admissionNotices),
            loops,
        )
    private val servers =
        PlatformServers(
            settings,
            loops,
            pools,
            ::callerLimits,
            PlatformHandlers(::answer, ingress::mayOverlap, ::isReady, heartbeatReceiver::receive, metrics::scrape),
        )
    private val startProbe =
        StartupProbe(
            { document()?.services?.get(settings.service)?.probe?.path },
            { workerParts.workers.worker != null },
            healthCall(settings, connections, HEALTH_TIMEOUT_MS),
            heartbeatReceiver::receive,
        )

    @Volatile
    private var stopping = false

    /** Starts all components. Throws [java.io.IOException] if a port is in use. */
    fun start() {
        servers.startForPlatform()
        registerPlatformGauges(metrics, gossip, workerParts.admission, adoption, workerParts.crashes, storeDuties)
        metrics.gauge("endivestep.log.lines.left.out", "Lines on requests that were not written, to keep their bound") {
            ingress.logLinesLeftOut
        }
        metrics.gauge("endivestep.loop.delay.ms", "Time by which the event loop of the callers is behind") { servers.callers.loopDelayMs }
        admissionNotices.start()
        innerServer.start()
        gossip.start()
        storeDuties.start()
        fetcher.start()
        workerParts.admission.onLoad = notices::onLoadChanged
        notices.start()
        rollouts?.start()
        rollouts?.registerGauges(metrics)
        freshness?.registerGauges(metrics)
        freshness?.start()
        quotas.startIfNeeded(always = settings.bounds.quota != null)
        registerQuotaGauges(metrics, quotas)
        startProbe.start()
        servers.callers.start()
        logger.info { "daemon ${settings.vm.text} serves callers at ${settings.callers}" }
    }

    /** Shuts down gracefully; returns whether all requests in flight ended. */
    fun stop(): Boolean {
        stopping = true
        logger.info { "daemon ${settings.vm.text} is leaving" }
        val drained = GracefulShutdown(
            gossip,
            ingress,
            egress,
            servers.callers,
            workerParts.inFlight,
            stopTime,
        ).run(settings.bounds.stopTimeoutMs)
        logger.info { "daemon ${settings.vm.text} has left; drained: $drained" }
        return drained
    }

    /** Handles a reread settings file; warns if settings changed that cannot change while this daemon runs. */
    fun reload(changed: PlatformSettings) {
        if (changed.copy(bounds = settings.bounds) != settings) {
            logger.warn { "ignoring changed settings that take effect only after a restart" }
        }
        logger.info { "the settings file was read again" }
    }

    private fun isReady(): Boolean = !stopping && adoption.active != null

    private fun document(): Document? = overrides.document

    private fun keysAreCurrent(): Boolean = freshness?.isFresh() ?: true

    private fun sendRefusal(call: IncomingCall): NotRunReason? =
        if (call.rank.team != null && !keysAreCurrent()) NotRunReason.CONFIGURATION_STALE else null

    private fun callerLimits() = document()?.callers ?: defaultCallerLimits

    private fun dispatch(call: IncomingCall, attempt: AttemptId): AttemptResult {
        val result = dispatcher.dispatch(call, attempt)
        if (result is AttemptResult.Answered) result.head.contentLength?.let { profiles.answered(call.kind.name, it) }
        return result
    }

    private fun answer(request: CallerRequest): CallerReply {
        startupHold.hold(request)
        return ingress.answer(request)
    }

    private fun knownEra(): StoreEra = storeEra.era ?: firstStoreEra

    private fun rolloutDuties(control: VersionControl) =
        RolloutDuties(
            checkNotNull(settings.bounds.rollOut),
            LocalService(settings.service, workerParts.workers),
            control,
            gossip,
            store,
            random,
            udpSocket(inner, RolloutDatagrams.PORT_OFFSET),
            security,
        )

    private companion object {
        val defaultCallerLimits = CallerLimits()

        const val MAX_REROUTES = 3
        const val REROUTE_MAX_QUEUE_WAIT_MS = 60L

        // One heartbeat may be lost or late without harm.
        const val VALID_HEARTBEATS = 3
    }
}
