package org.endivestep.daemon

import io.github.oshai.kotlinlogging.KotlinLogging
import io.grpc.BindableService
import org.endivestep.admission.AdmissionQueue
import org.endivestep.choice.Candidate
import org.endivestep.choice.ChoiceSubject
import org.endivestep.choice.LoadView
import org.endivestep.choice.Locality
import org.endivestep.choice.nearestTwoChoices
import org.endivestep.claim.ClaimKeeper
import org.endivestep.claim.Claims
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
import org.endivestep.egress.AttemptRegistry
import org.endivestep.egress.CrashWatch
import org.endivestep.egress.Egress
import org.endivestep.egress.InFlightRequests
import org.endivestep.egress.WorkerRegistry
import org.endivestep.egress.jettyWorkerCall
import org.endivestep.egress.listensAt
import org.endivestep.egress.probeOverHttp
import org.endivestep.exchange.AttemptRequest
import org.endivestep.exchange.monotonicMs
import org.endivestep.identity.ServiceName
import org.endivestep.identity.randomId
import org.endivestep.ingress.Dispatcher
import org.endivestep.ingress.Ingress
import org.endivestep.ingress.Route
import org.endivestep.ingress.callerServer
import org.endivestep.ingress.routes
import org.endivestep.membership.Gossip
import org.endivestep.membership.GossipAction
import org.endivestep.membership.GossipProtocol
import org.endivestep.membership.Joining
import org.endivestep.membership.MemberInfo
import org.endivestep.membership.MemberState
import org.endivestep.membership.SharedDuty
import org.endivestep.membership.carriers
import org.endivestep.membership.newDaemonIncarnation
import org.endivestep.metrics.DaemonMetrics
import org.endivestep.metrics.OutcomeCounters
import org.endivestep.outcome.AttemptResult
import org.endivestep.probe.ProbeDuty
import org.endivestep.protocol.ControlClient
import org.endivestep.protocol.ControlServer
import org.endivestep.protocol.ExchangeClient
import org.endivestep.protocol.ExchangeServer
import org.endivestep.protocol.GossipCodec
import org.endivestep.protocol.InnerSecurity
import org.endivestep.protocol.PeerChannels
import org.endivestep.protocol.executorOfCalls
import org.endivestep.protocol.toInfo
import org.endivestep.quarantine.Quarantine
import org.endivestep.ring.Duty
import org.endivestep.settings.Address
import org.endivestep.settings.DaemonSettings
import org.endivestep.store.httpObjectStore
import java.net.DatagramSocket
import java.net.InetAddress
import java.util.concurrent.TimeUnit
import java.util.concurrent.atomic.AtomicLong
import java.util.random.RandomGenerator

private val logger = KotlinLogging.logger {}

private const val LOST_KEPT_MS = 2_000L
private const val WATCH_CARRIERS = 2
private const val WORKER_CONNECTIONS = 200
private const val REGISTRY_MARGIN_MS = 60_000L
private const val DEFAULT_KEPT_MS = 300_000L
private val unconfiguredLimits = LimitSettings(1, 1, 0, 3.0, 0, 0)
private val unconfiguredQuarantine = QuarantineSettings(deaths = 2, durationMs = 600_000)

/** One daemon: all its parts, joined. */
internal class Daemon(val settings: DaemonSettings) {
    private val metrics = DaemonMetrics()
    private val counters = OutcomeCounters(metrics.registry)
    private val random = RandomGenerator.of("L64X128MixRandom")
    private val pools = DaemonPools()
    private val security = InnerSecurity(settings.sharedSecret)
    private val store = httpObjectStore(settings.storeUrl, settings.storeTimeoutMs)
    private val overrides: Overrides = Overrides(System::currentTimeMillis) { follower.overridden() }
    private val adoption: ConfigurationAdoption = ConfigurationAdoption { follower.adopted(it) }
    private val workers = WorkerRegistry()
    private val admission = AdmissionQueue(unconfiguredLimits, ::monotonicMs)
    private val quarantine = Quarantine(unconfiguredQuarantine, ::monotonicMs)
    private val inFlight = InFlightRequests(LOST_KEPT_MS, ::monotonicMs)
    private val crashes = CrashWatch(quarantine, inFlight, workers, ::listensAt) { supervision.died(it) }
    private val attempts = AttemptRegistry(::fenceKeptMs, ::monotonicMs)
    private val egress =
        Egress(settings.dataCentre, ::document, admission, workers, attempts, crashes, call = jettyWorkerCall(WORKER_CONNECTIONS))
    private val channels = PeerChannels(security)
    private val exchanges = ExchangeClient(channels, pools.uploads)
    private val control = ControlClient(channels)
    private val protocol = GossipProtocol(firstStatement(settings), random, overrides = overrides::entries) { adoption.version }
    private val gossip: Gossip = Gossip(protocol, GossipCodec(security), udpSocket(), ::monotonicMs, ::carryOut)
    private val supervision: WorkerSupervision = WorkerSupervision(workers, admission, crashes, inFlight, gossip, ::document)
    private val follower: ConfigurationApplier =
        ConfigurationApplier(settings.dataCentre, overrides, quarantine, supervision, admission, gossip)
    private val configurationWatcher =
        ConfigurationWatcher(store, adoption, ::isWatchAssigned, control::fetchConfiguration, System::currentTimeMillis)
    private val joining = Joining(gossip, settings.seeds, store) { control.synchronize(it, gossip.members, gossip.self) }
    private val loads = LoadView(::monotonicMs)
    private val claims = Claims(store, settings.vm, System::currentTimeMillis)
    private val droppedClaims = AtomicLong()
    private val keeper = ClaimKeeper(claims) { droppedClaims.incrementAndGet() }
    private val dispatcher = Dispatcher(::routesOf, loads, ::choose, attempt = ::attempt)
    private val ingress = Ingress(::document, dispatcher, claims, keeper, counters)
    private val probes = ProbeDuty(egress, { workers.worker }, ::document, ::probeOverHttp) { supervision.gone(it) }
    private val refusedStrangers = AtomicLong()
    private val innerServer =
        innerServer(
            Address(settings.host, settings.innerPort),
            listOf(security.serverInterceptor { refusedStrangers.incrementAndGet() }),
            executorOfCalls(pools.transport),
            innerServices(),
        )
    private val callers = callerServer(settings.host, settings.callerPort, settings.ingressThreads, ingress::handle)
    private val fleet = FleetStatus({ gossip.members }) { control.readCounters(it) }
    private val refusals = SignInRefusals(store, settings.vm, System::currentTimeMillis)
    private val submission = ConfigurationSubmission(store, System::currentTimeMillis)
    private val overrideWriter = OverrideWriter(overrides, submission, ::isWatchAssigned) { adoption.offer(it) }
    private val api = AdminApi(adoption, submission, store, fleet, overrides) { gossip.members }
    private val pages = ConsolePages(adoption, api, fleet, store, overrides) { gossip.members }
    private val readiness = Readiness(settings, adoption, gossip, configurationWatcher) { stopping }
    private val admin =
        adminServer(settings, AdminParts(readiness, metrics, api, pages, refusals, supervision::announce))

    private var housekeeping: Duty? = null

    @Volatile
    private var stopping = false

    /** Starts all parts. Throws [java.io.IOException] when a port is taken. */
    fun start() {
        registerGauges(metrics, gossip, admission, adoption, keeper)
        metrics.gauge("endivestep.claims.dropped", "Claim records given up") { droppedClaims.get() }
        metrics.gauge("endivestep.strangers.refused", "Inner calls without the shared secret") { refusedStrangers.get() }
        metrics.gauge("endivestep.probes.spent", "Probes sent to the worker") { probes.spent }
        metrics.gauge("endivestep.overrides", "States of data centres that the store has not confirmed") { overrides.entries.size }
        metrics.gauge("endivestep.quarantined", "Requests in quarantine") { crashes.quarantinedCount }
        innerServer.start()
        gossip.start()
        joining.start()
        configurationWatcher.start()
        overrideWriter.start()
        housekeeping = Duty.start("housekeeping", ::forgetRemovedPeers)
        probes.start()
        admin.start()
        callers.start()
        logger.info { "daemon ${settings.vm.text} serves callers at ${settings.host}:${settings.callerPort}" }
    }

    /**
     * Stops without cutting a request in flight: refuses new work, tells peers, and waits for what
     * is in flight for at most [DaemonSettings.stopTimeoutMs]. Returns whether everything ended.
     */
    fun stop(): Boolean {
        stopping = true
        logger.info { "daemon ${settings.vm.text} is leaving" }
        gossip.stateSelf { it.copy(worker = it.worker?.copy(serving = false)) }
        ingress.stop()
        egress.stop()
        val drained = awaitIdle()
        callers.stop()
        gossip.stateSelf { it.copy(state = MemberState.LEFT) }
        awaitClaims()
        stopDuties()
        innerServer.shutdown().awaitTermination(1, TimeUnit.SECONDS)
        channels.close()
        logger.info { "daemon ${settings.vm.text} has left; drained: $drained" }
        return drained
    }

    // VMs are replaced all the time; what is kept for a peer ends with its membership.
    private fun forgetRemovedPeers() {
        Thread.sleep(HOUSEKEEPING_PERIOD_MS)
        channels.retain(gossip.members.map { it.inner }.toSet())
    }

    private fun stopDuties() {
        housekeeping?.stop()
        listOf(joining::stop, configurationWatcher::stop, overrideWriter::stop, probes::stop, keeper::stop, refusals::stop).forEach { it() }
        Thread.sleep(LEFT_SPREAD_MS)
        gossip.stop()
        fleet.stop()
        admin.stop()
    }

    private fun awaitIdle(): Boolean {
        val untilMs = monotonicMs() + settings.stopTimeoutMs
        while (monotonicMs() < untilMs) {
            if (ingress.activeCount == 0 && inFlight.count == 0) return true
            Thread.sleep(IDLE_CHECK_MS)
        }
        return false
    }

    private fun awaitClaims() {
        val untilMs = monotonicMs() + CLAIMS_WAIT_MS
        while (keeper.backlog > 0 && monotonicMs() < untilMs) Thread.sleep(IDLE_CHECK_MS)
    }

    private fun document(): Document? = overrides.document

    private fun fenceKeptMs(): Long {
        val timeouts = document()?.services?.values?.flatMap { service -> service.kinds.map { it.timeoutMs } }
        return (timeouts?.maxOrNull() ?: DEFAULT_KEPT_MS) + REGISTRY_MARGIN_MS
    }

    private fun routesOf(service: ServiceName): List<Route> {
        val current = document() ?: return emptyList()
        return routes(gossip.members, current, service, settings.vm)
    }

    private fun choose(subject: ChoiceSubject, candidates: List<Candidate>): Candidate {
        val region = document()?.dataCentres?.get(settings.dataCentre)?.region.orEmpty()
        return nearestTwoChoices(Locality(settings.dataCentre, region), random, loads)(subject, candidates)
    }

    private fun attempt(route: Route, request: AttemptRequest): AttemptResult =
        if (route.isLocal) egress.run(request) { } else exchanges.attempt(route.peer, request)

    private fun isWatchAssigned(): Boolean {
        val alive = gossip.members.filter { it.state == MemberState.ALIVE && it.dataCentre == settings.dataCentre }
        return settings.vm in carriers(alive.map { it.vm }, SharedDuty.CONFIGURATION_WATCH, WATCH_CARRIERS)
    }

    private fun carryOut(action: GossipAction) {
        when (action) {
            is GossipAction.Synchronize -> pools.submitControl { synchronizeWith(action.peer) }
            is GossipAction.FetchConfiguration -> configurationWatcher.fetchFrom(action.peer)
            is GossipAction.Suspicions -> crashes.merge(action.entries)
            is GossipAction.Overrides -> overrides.merge(action.entries)
            is GossipAction.Send -> error("datagrams are sent by the gossip duty")
        }
    }

    private fun synchronizeWith(peer: Address) {
        val state = control.synchronize(peer, gossip.members, gossip.self) ?: return
        gossip.mergeAll(state.membersList.mapNotNull { it.toInfo() })
    }

    private fun innerServices(): List<BindableService> =
        listOf(
            ExchangeServer(egress, {
                gossip.self.incarnation
            }, pools.runners),
            ControlServer(gossip, adoption, counters, overrides::entries),
        )

    private fun udpSocket() = DatagramSocket(settings.innerPort, InetAddress.getByName(settings.host))

    private companion object {
        const val LEFT_SPREAD_MS = 300L
        const val IDLE_CHECK_MS = 20L
        const val CLAIMS_WAIT_MS = 5_000L
        const val HOUSEKEEPING_PERIOD_MS = 60_000L
    }
}

private fun firstStatement(settings: DaemonSettings) =
    MemberInfo(
        vm = settings.vm,
        inner = Address(settings.host, settings.innerPort),
        adminPort = settings.adminPort,
        dataCentre = settings.dataCentre,
        incarnation = newDaemonIncarnation(System.currentTimeMillis(), randomId()),
        sequence = 1,
        state = MemberState.ALIVE,
        worker = null,
    )
