package org.endivestep.rollout

import org.endivestep.daemon.DeciderAssignment
import org.endivestep.daemon.RolloutDeciders
import org.endivestep.daemon.RolloutParticipant
import org.endivestep.daemon.StatusWrite
import org.endivestep.identity.DaemonIncarnation
import org.endivestep.identity.DataCentreName
import org.endivestep.identity.KindName
import org.endivestep.identity.ServiceName
import org.endivestep.identity.VmName
import org.endivestep.identity.WorkerIncarnation
import org.endivestep.identity.WorkerVersion
import org.endivestep.membership.MemberInfo
import org.endivestep.membership.MemberState
import org.endivestep.membership.WorkerInfo
import org.endivestep.platform.RollOutBounds
import org.endivestep.settings.Address
import org.endivestep.store.StoreRevision
import java.util.PriorityQueue
import java.util.SplittableRandom
import kotlin.math.exp
import kotlin.math.ln

internal val simulatedService = ServiceName("orders")
internal val oldVersion = WorkerVersion("v1")
internal val newVersion = WorkerVersion("v2")
internal val thirdVersion = WorkerVersion("v3")
internal val simulatedBounds = RollOutBounds(exposure = 0.1, slack = 50, reactionMs = 5_000)
internal const val ORDER_AT_MS = 1_000L
internal const val ORDER_MS = 12_000L
private const val TICK_MS = 10L

/** How the target version behaves. */
internal enum class Behaviour(val isBad: Boolean) {
    GOOD(false),
    FAILING(true),
    FAILING_RARELY(true),
    FAILING_LATER(true),
    SLOW(true),
    SLOW_UNDER_LOAD(true),
    FAILING_ON_ONE_ROUTE(true),
}

/** What happens beside the roll-out. */
internal enum class Fault {
    NONE,
    DECIDER_KILLED,
    DECIDER_PAUSED,
    DECIDER_CUT_OFF,
    STORE_UNAVAILABLE,
    WRITE_LOST,
    WRITE_LATE,
    REPLACED,
    REMOVED,
    WORKERS_JOIN_LATE,
    DATAGRAMS_LOST,
    TARGET_WORKER_DIES,
}

internal data class SimulationCase(
    val behaviour: Behaviour,
    val fault: Fault,
    val daemons: Int,
    val workers: Int,
    val requestsPerSecond: Int,
    val seed: Long,
)

/** What callers and the operator saw. Times are in ms. */
internal class SimulationResult(
    val states: List<Pair<Long, RolloutStatus>>,
    /** Requests that reached the service between the order and its deadline, and those of them that the target version ran. */
    val requests: Int,
    val exposed: Int,
    /** Bad responses of the target version when the first final status was written. */
    val badResponses: Int,
    /** Time from the 50th bad response until the last later request was sent to the target version; null without a 50th. */
    val reactionMs: Long?,
    val refused: Int,
    val oldInFlightAtComplete: Int,
    val ranWithoutPermission: Int,
    val triedBeforeComplete: Int,
) {
    fun final(target: WorkerVersion): Pair<Long, RolloutStatus>? =
        states.firstOrNull { it.second.target == target && it.second.state != RolloutState.RUNNING }
}

/**
 * Daemons with the real tables, gates, counters, participants and deciders, in virtual time; the store, the datagrams, the membership
 * and the workers are modelled.
 */
internal class RolloutSimulation(private val case: SimulationCase) {
    private class Event(val atMs: Long, val order: Long, val run: () -> Unit)

    private inner class Node(val index: Int) {
        val vm = VmName("vm-$index")
        val version: WorkerVersion? =
            when {
                index < case.workers -> oldVersion
                index < 2 * case.workers -> newVersion
                else -> null
            }
        val table = RolloutTable(::nowMs, ::nowMs)
        val gate = VersionGate(table, ::nowMs)
        val choice = VersionChoice(table, random::nextDouble)
        val counters = EvidenceCounters(::nowMs)
        val deciders = RolloutDeciders(vm, simulatedBounds, table, assignment, { members }, { e, s -> write(this, e, s) }, {}, ::nowMs)
        val participant: RolloutParticipant =
            RolloutParticipant(
                if (version == null) ServiceName("other") else simulatedService,
                { memberOf(this) },
                assignment,
                table,
                gate,
                counters,
                { reachesStore(this) },
                { to, message ->
                    val peer = nodes[to.vm.text.substringAfter('-').toInt()]
                    deliver(this, peer) {
                        peer.deciders.receive(message)?.let { reply -> deliver(peer, this) { this.participant.receive(reply) } }
                    }
                },
                ::nowMs,
            )
        var joined = true
        var killedAtMs = Long.MAX_VALUE
        var pausedUntilMs = 0L
        var cutUntilMs = 0L
        var inFlight = 0
        val isRunning get() = joined && now < killedAtMs && now >= pausedUntilMs
    }

    private val random = SplittableRandom(case.seed)
    private var now = 0L
    private var events = 0L
    private val queue = PriorityQueue<Event>(compareBy<Event> { it.atMs }.thenBy { it.order })
    private var members: List<MemberInfo> = emptyList()
    private val assignment = DeciderAssignment { members }
    private val nodes: List<Node> = List(case.daemons) { Node(it) }
    private var stored: RolloutEntry? = null
    private var revision = 1L
    private var storeDownUntilMs = 0L
    private var lostWrites = 0
    private var lateWrites = 0
    private val states = mutableListOf<Pair<Long, RolloutStatus>>()
    private var requests = 0
    private var exposed = 0
    private var bad = 0
    private var fiftiethBadMs: Long? = null
    private var lastTargetSentMs = 0L
    private var refused = 0
    private var oldInFlightAtComplete = 0
    private var ranWithoutPermission = 0
    private var targetResponses = 0
    private var triedBeforeComplete = 0
    private var badAtEnd = 0
    private var isRemoved = false

    fun run(): SimulationResult {
        nodes.filter { it.version == newVersion }.forEach { it.joined = false }
        schedule(ORDER_AT_MS + if (case.fault == Fault.WORKERS_JOIN_LATE) LATE_START_MS else START_MS, ::join)
        refreshMembers()
        nodes.forEach { node ->
            if (node.joined) node.table.markKnown()
            node.counters.workerIs(node.version, isNewRun = false)
            schedule(random.nextLong(250)) { evidenceStep(node) }
            schedule(random.nextLong(100)) { decisionStep(node) }
        }
        schedule(ORDER_AT_MS) { store(RolloutEntry(RolloutOrder(simulatedService, newVersion, ORDER_MS), null, StoreRevision(0))) }
        scheduleFault()
        schedule(0, ::traffic)
        while (now < END_MS) {
            val event = queue.poll()
            now = event.atMs
            event.run()
        }
        return result()
    }

    private fun result(): SimulationResult {
        val reaction = fiftiethBadMs?.let { maxOf(0, lastTargetSentMs - it) }
        val tried = triedBeforeComplete
        return SimulationResult(states, requests, exposed, badAtEnd, reaction, refused, oldInFlightAtComplete, ranWithoutPermission, tried)
    }

    private fun schedule(delayMs: Long, run: () -> Unit) {
        queue += Event(now + delayMs, events++, run)
    }

    private fun evidenceStep(node: Node) {
        schedule(if (isServed()) 250 else 500) { evidenceStep(node) }
        if (node.isRunning) node.participant.step()
    }

    private fun decisionStep(node: Node) {
        schedule(100) { decisionStep(node) }
        if (node.isRunning && node.deciders.hasDuty()) node.deciders.step()
    }

    private fun isServed() = stored != null

    private fun deliver(from: Node, to: Node, run: () -> Unit) {
        if (case.fault == Fault.DATAGRAMS_LOST && random.nextInt(10) < 3) return
        if (now < from.cutUntilMs || now < to.cutUntilMs) return
        val delay = if (from === to) 0L else 2 + random.nextLong(6)
        // A message that reaches a paused daemon is read when the daemon goes on.
        schedule(maxOf(delay, to.pausedUntilMs - now)) { if (to.isRunning) run() }
    }

    private fun reachesStore(node: Node) = now >= storeDownUntilMs && now >= node.cutUntilMs

    private fun store(entry: RolloutEntry) {
        val written = entry.copy(revision = StoreRevision(++revision))
        stored = written
        written.status?.let(::noteStatus)
        nodes.forEach { notify(it, written) }
    }

    private fun noteStatus(status: RolloutStatus) {
        states += now to status
        if (status.state == RolloutState.RUNNING) return
        badAtEnd = bad
        if (status.state == RolloutState.COMPLETE) {
            triedBeforeComplete = targetResponses
            oldInFlightAtComplete = nodes.filter { it.version == oldVersion && it.isRunning }.sumOf { it.inFlight }
        }
    }

    private fun notify(node: Node, written: RolloutEntry?) {
        schedule(5 + random.nextLong(20)) { receive(node, written) }
    }

    private fun receive(node: Node, written: RolloutEntry?) {
        val waitMs = maxOf(node.pausedUntilMs, node.cutUntilMs, storeDownUntilMs) - now
        if (waitMs > 0) {
            schedule(waitMs + random.nextLong(500)) { receive(node, written) }
        } else if (node.isRunning) {
            written?.let { node.table.update(it, fromStore = true) }
            node.table.markKnown()
        }
    }

    private fun write(node: Node, entry: RolloutEntry, status: RolloutStatus): StatusWrite {
        if (!reachesStore(node)) return StatusWrite.UNKNOWN
        if (lostWrites > 0 && lostWrites-- > 0) {
            if (random.nextBoolean()) put(node, entry, status)
            return StatusWrite.UNKNOWN
        }
        if (lateWrites > 0 && lateWrites-- > 0) {
            schedule(1_200) { put(node, entry, status) }
            return StatusWrite.UNKNOWN
        }
        if (!put(node, entry, status)) return StatusWrite.CONFLICT
        node.table.update(checkNotNull(stored), fromStore = true)
        return StatusWrite.WRITTEN
    }

    private fun put(node: Node, entry: RolloutEntry, status: RolloutStatus): Boolean {
        val current = stored ?: return false
        if (current.revision != entry.revision) return false
        store(current.copy(status = status, orderedAtMs = node.table.orderedAtMs(simulatedService)))
        return true
    }

    private fun scheduleFault() {
        val atMs = ORDER_AT_MS + 500 + random.nextLong(8_000)
        when (case.fault) {
            Fault.NONE, Fault.DATAGRAMS_LOST, Fault.WORKERS_JOIN_LATE -> Unit
            Fault.DECIDER_KILLED -> schedule(atMs) { kill(firstDecider()) }
            Fault.DECIDER_PAUSED -> schedule(atMs) { firstDecider().pausedUntilMs = now + 5_000 }
            Fault.DECIDER_CUT_OFF -> schedule(atMs) { firstDecider().cutUntilMs = now + 5_000 }
            Fault.STORE_UNAVAILABLE -> schedule(atMs) { storeDownUntilMs = now + 2_000 }
            Fault.WRITE_LOST -> schedule(ORDER_AT_MS) { lostWrites = 2 }
            Fault.WRITE_LATE -> schedule(ORDER_AT_MS) { lateWrites = 2 }
            Fault.REPLACED -> schedule(ORDER_AT_MS + 4_000) { replace() }
            Fault.REMOVED -> schedule(ORDER_AT_MS + 4_000, ::remove)
            Fault.TARGET_WORKER_DIES -> schedule(atMs) { kill(nodes.first { it.version == newVersion }) }
        }
    }

    private fun firstDecider(): Node {
        val deciders = assignment.deciders(simulatedService).map { nodes[it.vm.text.substringAfter('-').toInt()] }
        return deciders.first()
    }

    private fun kill(node: Node) {
        node.killedAtMs = now
        schedule(5_000, ::refreshMembers)
    }

    private fun join() {
        nodes.filter { it.version == newVersion }.forEach { node ->
            node.joined = true
            node.counters.workerIs(newVersion, isNewRun = true)
            notify(node, stored)
        }
        refreshMembers()
    }

    private fun replace() = store(RolloutEntry(RolloutOrder(simulatedService, thirdVersion, ORDER_MS), null, StoreRevision(0)))

    private fun remove() {
        isRemoved = true
        stored = null
        revision++
        nodes.forEach { node -> schedule(5 + random.nextLong(20)) { node.table.remove(simulatedService, StoreRevision(revision)) } }
    }

    private fun refreshMembers() {
        members = nodes.filter { it.joined }.map { memberOf(it) }
    }

    private fun memberOf(node: Node): MemberInfo =
        MemberInfo(
            vm = node.vm,
            inner = Address("127.0.0.1", 1),
            adminPort = 0,
            dataCentre = DataCentreName("a"),
            incarnation = DaemonIncarnation("1-${node.vm.text}"),
            sequence = 1,
            state = if (now < node.killedAtMs) MemberState.ALIVE else MemberState.DEAD,
            worker = node.version?.let { WorkerInfo(simulatedService, WorkerIncarnation("w-${node.index}"), serving = true, it) },
        )

    private fun traffic() {
        schedule(TICK_MS, ::traffic)
        val expected = case.requestsPerSecond * TICK_MS / 1_000.0
        val count = expected.toInt() + (if (random.nextDouble() < expected - expected.toInt()) 1 else 0)
        repeat(count) { request() }
    }

    private fun request() {
        val ingress = nodes[random.nextInt(nodes.size)]
        if (!ingress.isRunning) return
        val isCounted = now in ORDER_AT_MS..ORDER_AT_MS + ORDER_MS
        if (isCounted) requests++
        attempt(
            Attempt(
                ingress,
                if (random.nextInt(4) ==
                    0
                ) {
                    KindName("search")
                } else {
                    KindName("read")
                },
                isCounted,
                now,
            ),
            emptySet(),
            emptySet(),
            4,
        )
    }

    private class Attempt(val ingress: Any, val kind: KindName, val isCounted: Boolean, val sentMs: Long)

    private fun attempt(request: Attempt, refusedVersions: Set<WorkerVersion?>, tried: Set<VmName>, left: Int) {
        val ingress = request.ingress as RolloutSimulation.Node
        val all = members.filter { it.worker != null && it.state == MemberState.ALIVE && it.vm !in tried }
        val usable = ingress.choice.select(simulatedService, all, refusedVersions, { it.worker?.version }, { it.vm.text })
        if (usable.isEmpty() || left == 0) {
            refused++
            return
        }
        val chosen = usable[random.nextInt(usable.size)]
        val node = nodes[chosen.vm.text.substringAfter('-').toInt()]
        if (!node.isRunning) return attempt(request, refusedVersions, tried + node.vm, left - 1)
        if (!node.gate.permits(simulatedService, node.version)) {
            return attempt(request, refusedVersions + node.version, tried + node.vm, left - 1)
        }
        work(node, request)
    }

    private fun work(node: Node, request: Attempt) {
        val isTarget = node.version == newVersion
        if (isTarget) noteTargetRequest(request)
        node.inFlight++
        node.counters.started()
        val isSlow = isTarget && isSlow(node)
        val durationMs = durationMs(node) * (if (isSlow) SLOW_TIMES else 1.0)
        val fails = random.nextDouble() < failureRate(isTarget, request.kind)
        schedule(durationMs.toLong().coerceAtLeast(1)) { ended(node, request.kind, durationMs, fails, fails || isSlow) }
    }

    private fun noteTargetRequest(request: Attempt) {
        if (states.none { it.second.target == newVersion && it.second.sharePercent > 0 }) ranWithoutPermission++
        if (isRemoved) return
        if (request.isCounted) exposed++
        lastTargetSentMs = maxOf(lastTargetSentMs, request.sentMs)
    }

    private fun ended(node: Node, kind: KindName, durationMs: Double, failed: Boolean, isBad: Boolean) {
        node.inFlight--
        val died = now >= node.killedAtMs
        node.counters.ended(kind, if (failed || died) VersionOutcome.Failed else VersionOutcome.Answered(durationMs))
        if (node.version != newVersion) return
        targetResponses++
        if (isBad && ++bad == 50) fiftiethBadMs = now
    }

    // Log-normal about 60 ms; 3 of 100 requests take 7 times as long; a worker that is nearly full is 1.7 times slower.
    private fun durationMs(node: Node): Double {
        val usual = USUAL_MS * exp(0.3 * gaussian()) * (if (random.nextInt(100) < 3) 7.0 else 1.0)
        val crowded = if (node.inFlight > 5) 1.7 else 1.0
        return usual * crowded
    }

    private fun isSlow(node: Node): Boolean =
        when (case.behaviour) {
            Behaviour.SLOW -> true
            Behaviour.SLOW_UNDER_LOAD -> node.inFlight >= UNDER_LOAD
            else -> false
        }

    private fun gaussian(): Double {
        val u = random.nextDouble().coerceAtLeast(1e-12)
        return Math.sqrt(-2 * ln(u)) * Math.cos(2 * Math.PI * random.nextDouble())
    }

    private fun failureRate(isTarget: Boolean, kind: KindName): Double {
        if (!isTarget) return USUAL_FAILURES
        return when (case.behaviour) {
            Behaviour.FAILING -> 0.4
            Behaviour.FAILING_RARELY -> 0.15
            Behaviour.FAILING_LATER -> if (now > ORDER_AT_MS + 4_500) 0.4 else USUAL_FAILURES
            Behaviour.FAILING_ON_ONE_ROUTE -> if (kind.text == "search") 0.5 else USUAL_FAILURES
            Behaviour.GOOD, Behaviour.SLOW, Behaviour.SLOW_UNDER_LOAD -> USUAL_FAILURES
        }
    }

    private fun nowMs(): Long = now

    private companion object {
        const val START_MS = 500L
        const val LATE_START_MS = 3_000L
        const val END_MS = ORDER_AT_MS + 18_000
        const val USUAL_FAILURES = 0.005
        const val USUAL_MS = 90
        const val SLOW_TIMES = 4.0
        const val UNDER_LOAD = 3
    }
}
