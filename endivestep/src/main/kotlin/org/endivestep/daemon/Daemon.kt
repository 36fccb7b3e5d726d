package org.endivestep.daemon

import io.github.oshai.kotlinlogging.KotlinLogging
import org.endivestep.choice.Candidate
import org.endivestep.choice.LoadView
import org.endivestep.choice.Locality
import org.endivestep.choice.RequestTraits
import org.endivestep.choice.nearestTwoChoices
import org.endivestep.claim.ClaimTaskExecutor
import org.endivestep.claim.Claims
import org.endivestep.concurrent.BackgroundLoop
import org.endivestep.configuration.ConfigurationAdoption
import org.endivestep.configuration.ConfigurationSubmission
import org.endivestep.configuration.ConfigurationWatcher
import org.endivestep.configuration.OverrideWriter
import org.endivestep.configuration.Overrides
import org.endivestep.console.AdminApi
import org.endivestep.console.ConsolePages
import org.endivestep.console.FleetStatus
import org.endivestep.console.SignInRefusals
import org.endivestep.document.Document
import org.endivestep.document.LimitSettings
import org.endivestep.document.QuarantineSettings
import org.endivestep.egress.Egress
import org.endivestep.egress.jettyWorkerCall
import org.endivestep.egress.probeOverHttp
import org.endivestep.exchange.monotonicMs
import org.endivestep.identity.ServiceName
import org.endivestep.ingress.Dispatcher
import org.endivestep.ingress.Ingress
import org.endivestep.ingress.Route
import org.endivestep.ingress.callerServer
import org.endivestep.ingress.routes
import org.endivestep.membership.Gossip
import org.endivestep.membership.GossipProtocol
import org.endivestep.membership.Joining
import org.endivestep.membership.MemberState
import org.endivestep.membership.SharedTask
import org.endivestep.membership.assignedMembers
import org.endivestep.metrics.DaemonMetrics
import org.endivestep.metrics.OutcomeCounters
import org.endivestep.probe.IdleProber
import org.endivestep.protocol.AdmissionNotices
import org.endivestep.protocol.GossipCodec
import org.endivestep.protocol.PeerAuthentication
import org.endivestep.protocol.PeerChannels
import org.endivestep.protocol.callExecutorSupplier
import org.endivestep.settings.Address
import org.endivestep.settings.DaemonSettings
import org.endivestep.store.httpObjectStore
import java.util.concurrent.atomic.AtomicLong
import java.util.random.RandomGenerator

private val logger = KotlinLogging.logger {}

private const val WATCHERS_PER_DATA_CENTRE = 2
private const val WORKER_CONNECTIONS = 200
private const val FENCE_RETENTION_MARGIN_MS = 60_000L
private const val DEFAULT_MAX_TIMEOUT_MS = 300_000L
private val unconfiguredLimits = LimitSettings(1, 1, 0, 3.0, 0, 0)
private val unconfiguredQuarantine = QuarantineSettings(deaths = 2, durationMs = 600_000)

/** One daemon: creates and connects all of its components. */
internal class Daemon(val settings: DaemonSettings) {
    private val inner = Address(settings.host, settings.innerPort)
    private val metrics = DaemonMetrics()
    private val counters = OutcomeCounters(metrics.registry)
    private val random = RandomGenerator.of("L64X128MixRandom")
    private val pools = DaemonPools()
    private val security = PeerAuthentication(settings.sharedSecret)
    private val store = httpObjectStore(settings.storeUrl, settings.storeTimeoutMs)
    private val overrides: Overrides = Overrides(System::currentTimeMillis) { applier.overridden() }
    private val adoption: ConfigurationAdoption = ConfigurationAdoption { applier.adopted(it) }
    private val workerParts = WorkerParts(unconfiguredLimits, unconfiguredQuarantine, ::fenceRetentionMs) { supervisor.workerDied(it) }
    private val egress =
        Egress(
            settings.dataCentre,
            ::document,
            workerParts.admission,
            workerParts.workers,
            workerParts.attempts,
            workerParts.crashes,
            call = jettyWorkerCall(WORKER_CONNECTIONS),
        )
    private val peerParts = PeerParts(egress, PeerChannels(security), pools)
    private val protocol =
        GossipProtocol(
            initialMemberInfo(settings.vm, inner, settings.dataCentre, settings.adminPort),
            random,
            overrides = overrides::entries,
            knownSuspicions = workerParts.crashes::suspicions,
        ) {
            adoption.position
        }
    private val gossip: Gossip = Gossip(protocol, GossipCodec(security), udpSocket(inner), ::monotonicMs) { gossipActions.perform(it) }
    private val supervisor: WorkerSupervisor = WorkerSupervisor(workerParts, gossip, ::document)
    private val applier: ConfigurationApplier =
        ConfigurationApplier(settings.dataCentre, overrides, workerParts.quarantine, supervisor, workerParts.admission, gossip)
    private val configurationWatcher =
        ConfigurationWatcher(store, adoption, ::isWatchAssigned, peerParts.control::fetchConfiguration, System::currentTimeMillis)
    private val gossipActions: GossipActions =
        GossipActions(gossip, pools, peerParts, supervisor, overrides, configurationWatcher::fetchFrom)
    private val joining = Joining(gossip, settings.seeds, store) { peerParts.control.synchronize(it, gossip.members, gossip.self) }
    private val loads = LoadView(::monotonicMs)
    private val claims = Claims(store, settings.vm, System::currentTimeMillis)
    private val droppedClaims = AtomicLong()
    private val claimTasks = ClaimTaskExecutor(claims) { droppedClaims.incrementAndGet() }
    private val hedging = hedging(settings.hedging, pools, metrics.registry, { !stopping }) { vm, _ -> loads.secondAttemptMs(vm) }
    private val dispatcher = Dispatcher(::routesOf, loads, ::choose, hedging = hedging, attempt = peerParts::attempt)
    private val ingress = Ingress(::document, dispatcher, claims, claimTasks, counters)
    private val prober =
        IdleProber(egress, { workerParts.workers.worker }, ::document, ::probeOverHttp) { workerParts.crashes.workerNotListening(it) }
    private val unauthenticatedCalls = AtomicLong()
    private val admissionNotices = AdmissionNotices(::monotonicMs)
    private val innerServer =
        innerServer(
            inner,
            listOf(security.serverInterceptor { unauthenticatedCalls.incrementAndGet() }),
            callExecutorSupplier(pools.transport),
            peerParts.services(gossip, adoption, counters, overrides, admissionNotices),
        )
    private val callers = callerServer(settings.host, settings.callerPort, settings.ingressThreads, ingress::handle)
    private val fleet = FleetStatus({ gossip.members }) { peerParts.control.readCounters(it) }
    private val refusals = SignInRefusals(store, settings.vm, System::currentTimeMillis)
    private val submission = ConfigurationSubmission(store, System::currentTimeMillis)
    private val overrideWriter = OverrideWriter(overrides, submission, ::isWatchAssigned) { adoption.offer(it) }
    private val api = AdminApi(adoption, submission, store, fleet, overrides) { gossip.members }
    private val pages = ConsolePages(adoption, api, fleet, store, overrides) { gossip.members }
    private val readiness = Readiness(settings, adoption, gossip, configurationWatcher) { stopping }
    private val admin =
        adminServer(settings, AdminComponents(readiness, metrics, api, pages, refusals, supervisor::announce))

    private var housekeeping: BackgroundLoop? = null

    @Volatile
    private var stopping = false

    /** Starts all components. Throws [java.io.IOException] if a port is in use. */
    fun start() {
        registerGauges(metrics, gossip, workerParts.admission, adoption, claimTasks)
        metrics.gauge("endivestep.claims.dropped", "Claim records given up") { droppedClaims.get() }
        metrics.gauge("endivestep.strangers.refused", "Inner calls without the shared secret") { unauthenticatedCalls.get() }
        metrics.gauge("endivestep.probes.spent", "Probes sent to the worker") { prober.spent }
        metrics.gauge("endivestep.overrides", "States of data centres that the store has not confirmed") { overrides.entries.size }
        metrics.gauge("endivestep.quarantined", "Requests in quarantine") { workerParts.crashes.quarantinedCount }
        admissionNotices.start()
        innerServer.start()
        gossip.start()
        joining.start()
        configurationWatcher.start()
        overrideWriter.start()
        housekeeping = BackgroundLoop.start("housekeeping", ::closeChannelsOfRemovedPeers)
        prober.start()
        admin.start()
        callers.start()
        logger.info { "daemon ${settings.vm.text} serves callers at ${settings.host}:${settings.callerPort}" }
    }

    /**
     * Shuts down gracefully: notifies peers, refuses new requests, and waits for the requests in flight
     * for at most [DaemonSettings.stopTimeoutMs]. Returns whether all of them ended.
     */
    fun stop(): Boolean {
        stopping = true
        logger.info { "daemon ${settings.vm.text} is leaving" }
        gossip.updateSelf { it.copy(worker = it.worker?.copy(serving = false)) }
        ingress.stop()
        egress.stop()
        val drained = awaitIdle()
        callers.stop()
        gossip.updateSelf { it.copy(state = MemberState.LEFT) }
        awaitClaims()
        stopBackgroundTasks()
        innerServer.endCalls(LAST_RESPONSES_MS)
        peerParts.channels.close()
        logger.info { "daemon ${settings.vm.text} has left; drained: $drained" }
        return drained
    }

    // VMs are replaced continually, so the channels to a peer are closed once it is no longer a member.
    private fun closeChannelsOfRemovedPeers() {
        Thread.sleep(HOUSEKEEPING_PERIOD_MS)
        peerParts.channels.retain(gossip.members.map { it.inner }.toSet())
    }

    private fun stopBackgroundTasks() {
        housekeeping?.stop()
        listOf(joining::stop, configurationWatcher::stop, overrideWriter::stop, prober::stop, claimTasks::stop, refusals::stop).forEach {
            it()
        }
        Thread.sleep(LEFT_PROPAGATION_MS)
        gossip.stop()
        fleet.stop()
        admin.stop()
    }

    private fun awaitIdle(): Boolean {
        val untilMs = monotonicMs() + settings.stopTimeoutMs
        while (monotonicMs() < untilMs) {
            if (ingress.activeCount == 0 && workerParts.inFlight.count == 0) return true
            Thread.sleep(IDLE_CHECK_MS)
        }
        return false
    }

    private fun awaitClaims() {
        val untilMs = monotonicMs() + CLAIMS_WAIT_MS
        while (claimTasks.backlog > 0 && monotonicMs() < untilMs) Thread.sleep(IDLE_CHECK_MS)
    }

    private fun document(): Document? = overrides.document

    private fun fenceRetentionMs(): Long {
        val timeouts = document()?.services?.values?.flatMap { service -> service.kinds.map { it.timeoutMs } }
        return (timeouts?.maxOrNull() ?: DEFAULT_MAX_TIMEOUT_MS) + FENCE_RETENTION_MARGIN_MS
    }

    private fun routesOf(service: ServiceName): List<Route> {
        val current = document() ?: return emptyList()
        return routes(gossip.members, current, service, settings.vm)
    }

    private fun choose(traits: RequestTraits, candidates: List<Candidate>): Candidate {
        val region = document()?.dataCentres?.get(settings.dataCentre)?.region.orEmpty()
        return nearestTwoChoices(Locality(settings.dataCentre, region), random, loads)(traits, candidates)
    }

    private fun isWatchAssigned(): Boolean {
        val alive = gossip.members.filter { it.state == MemberState.ALIVE && it.dataCentre == settings.dataCentre }
        return settings.vm in assignedMembers(alive.map { it.vm }, SharedTask.CONFIGURATION_WATCH, WATCHERS_PER_DATA_CENTRE)
    }

    private companion object {
        const val LEFT_PROPAGATION_MS = 300L
        const val LAST_RESPONSES_MS = 1_000L
        const val IDLE_CHECK_MS = 20L
        const val CLAIMS_WAIT_MS = 5_000L
        const val HOUSEKEEPING_PERIOD_MS = 60_000L
    }
}
