package org.endivestep.daemon

import io.github.oshai.kotlinlogging.KotlinLogging
import io.netty.channel.nio.NioEventLoopGroup
import org.endivestep.choice.KindProfiles
import org.endivestep.configuration.ConfigurationAdoption
import org.endivestep.configuration.ConfigurationFetcher
import org.endivestep.configuration.Overrides
import org.endivestep.configuration.offerAndLog
import org.endivestep.document.CallerLimits
import org.endivestep.document.Document
import org.endivestep.exchange.monotonicMs
import org.endivestep.http.HttpConnectionPool
import org.endivestep.membership.Gossip
import org.endivestep.membership.GossipProtocol
import org.endivestep.membership.GossipSettings
import org.endivestep.metrics.AdmissionMetrics
import org.endivestep.metrics.DaemonMetrics
import org.endivestep.metrics.OutcomeCounters
import org.endivestep.platform.PlatformSettings
import org.endivestep.platform.platformStore
import org.endivestep.platform.readOperatorDocument
import org.endivestep.protocol.AdmissionNotices
import org.endivestep.protocol.GossipCodec
import org.endivestep.protocol.PeerAuthentication
import org.endivestep.protocol.PeerChannels
import org.endivestep.protocol.RecentSenders
import org.endivestep.protocol.callExecutorSupplier
import org.endivestep.protocol.senderInterceptor
import org.endivestep.store.CurrentStoreEra
import org.endivestep.store.StoreEra
import org.endivestep.store.firstStoreEra
import java.util.random.RandomGenerator

private val logger = KotlinLogging.logger {}

private const val FENCE_RETENTION_MS = 120_000L
private const val STORE_TIMEOUT_MS = 1_000L
private const val CONNECT_TIMEOUT_MS = 500

// A VM gives its daemon less than one core, so more threads would only cost more changes between them.
private const val EVENT_LOOP_THREADS = 1

/** A daemon on the platform: connects its components to the message formats and the store of the platform. */
internal class PlatformDaemon(private val settings: PlatformSettings) {
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
            duties.quotas.startIfNeeded()
        }
    private val profiles = KindProfiles()
    private val workerParts = WorkerParts(limitsBeforeHeartbeat, quarantineSettings, { FENCE_RETENTION_MS }) { supervisor.workerDied(it) }
    private val versions = settings.bounds.rollOut?.let { VersionControl(metrics, workerParts.workers) }
    private val egress = platformEgress(settings, ::document, workerParts, versions, admissionMetrics, connections)
    private val peerParts = PeerParts(egress, PeerChannels(security, loops), pools)
    private val protocol =
        GossipProtocol(
            initialMemberInfo(settings.vm, settings.inner, settings.dataCentre),
            random,
            GossipSettings(),
            overrides::entries,
            ::knownEra,
            workerParts.crashes::suspicions,
        ) {
            adoption.position
        }
    private val gossip: Gossip =
        Gossip(protocol, GossipCodec(security), udpSocket(settings.inner), ::monotonicMs) { gossipActions.perform(it) }
    private val supervisor: WorkerSupervisor =
        WorkerSupervisor(workerParts, gossip, ::document, settings.heartbeatIntervalMs * VALID_HEARTBEATS)
    private val applier: ConfigurationApplier =
        ConfigurationApplier(settings.dataCentre, overrides, workerParts.quarantine, supervisor, workerParts.admission, gossip)
    private val fetcher = ConfigurationFetcher(adoption, peerParts.control::fetchConfiguration, adoption::offerAndLog)
    private val gossipActions: GossipActions =
        GossipActions(gossip, pools, peerParts, supervisor, overrides, fetcher::fetchFrom) { storeEra.observe(it, "another daemon") }
    private val storeDuties: StoreDuties =
        StoreDuties(store, gossip, random, adoption, overrides, { peerParts.synchronize(gossip, it) }) { duties.refreshRollouts() }
    private val heartbeatReceiver = HeartbeatReceiver(settings.service, settings.worker, workerParts.workers, supervisor::announce)
    private val dispatch: PlatformDispatch =
        PlatformDispatch(
            settings,
            pools,
            metrics.registry,
            gossip,
            ::document,
            peerParts,
            versions,
            profiles,
            { duties.keysAreCurrent() },
            { stopping },
        )
    private val senders = RecentSenders(::monotonicMs)
    private val duties: DatagramDuties =
        DatagramDuties(
            workerParts.admission,
            loadNotices(settings, gossip, workerParts.admission, senders, dispatch::loadReported),
            rolloutDuties(settings, workerParts.workers, versions, gossip, store, random, security),
            freshnessDuties(settings, gossip, adoption, fetcher, ::document, storeDuties::confirmedPosition, random),
            quotaService(settings, security, gossip, ::document, metrics.registry),
        )
    private val ingress =
        PlatformIngress(settings, random, ::document, dispatch, duties, profiles, counters) { adoption.version.number }
    private val admissionNotices = AdmissionNotices(::monotonicMs)
    private val innerServer =
        innerServer(
            settings.inner,
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
            PlatformHandlers(ingress::answer, ingress.routed::mayOverlap, ::isReady, heartbeatReceiver::receive, metrics::scrape),
        )
    private val startProbe = startupProbe(settings, ::document, workerParts.workers, connections, heartbeatReceiver::receive)

    @Volatile
    private var stopping = false

    /** Starts all components. Throws [java.io.IOException] if a port is in use. */
    fun start() {
        servers.startForPlatform()
        registerPlatformGauges(metrics, gossip, workerParts.admission, adoption, workerParts.crashes, storeDuties)
        metrics.gauge("endivestep.log.lines.left.out", "Lines on requests that were not written, to keep their bound") {
            ingress.routed.logLinesLeftOut
        }
        metrics.gauge("endivestep.loop.delay.ms", "Time by which the event loop of the callers is behind") { servers.callers.loopDelayMs }
        admissionNotices.start()
        innerServer.start()
        gossip.start()
        storeDuties.start()
        fetcher.start()
        duties.start(settings.bounds, metrics)
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
            ingress.routed,
            egress,
            servers.callers,
            workerParts.inFlight,
            dispatch.stopTime,
            innerServer::endCalls,
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

    private fun callerLimits() = document()?.callers ?: defaultCallerLimits

    private fun knownEra(): StoreEra = storeEra.era ?: firstStoreEra

    private companion object {
        val defaultCallerLimits = CallerLimits()

        // One heartbeat may be lost or late without harm.
        const val VALID_HEARTBEATS = 3
    }
}
