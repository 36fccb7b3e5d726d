package org.endivestep.quota

import org.endivestep.document.TeamQuota
import org.endivestep.identity.DaemonIncarnation
import org.endivestep.identity.TeamName
import org.endivestep.identity.VmName
import java.util.PriorityQueue
import java.util.SplittableRandom

/** How datagrams travel at present. Delays are in ms, one way. */
internal class Links(val loss: Double = 0.0, val duplicates: Double = 0.0, val minDelayMs: Long = 1, val maxDelayMs: Long = 3)

/** What happened to the requests of one team. */
internal class TeamRecord {
    val ranMs = ArrayList<Long>()
    val refusedMs = ArrayList<Long>()
    var sent = 0
    var noOwner = 0
    var waitedMs = 0L
}

/**
 * Daemons with their quota owners and token stores in virtual time, joined by a network that loses, delays and repeats datagrams.
 * A model of gossip tells each daemon which others are alive, later than it happens.
 */
internal class QuotaFleet(seed: Long, val count: Int, private val initial: Map<TeamName, TeamQuota>, private val givesBack: Double = 0.0) {
    private class Event(val atMs: Long, val order: Long, val action: () -> Unit)

    inner class Node(val index: Int) {
        val vm = VmName("vm-$index")
        var owner = QuotaOwner(vm, tolerance)
        var tokens = newTokens()
        var up = true
        var pausedUntilMs = 0L
        var losesWhilePaused = false
        var island = 0
        var quotas = initial
        var startedMs = 0L
        var live = BooleanArray(count)
        var known = BooleanArray(count)
        var view = QuotaView.initial(vm)
        var nextStepMs = Long.MAX_VALUE
        val queued = ArrayList<() -> Unit>()

        val paused: Boolean get() = nowMs < pausedUntilMs

        private fun newTokens(): QuotaTokens {
            val run = DaemonIncarnation("$nowMs-run")
            return QuotaTokens(tolerance, random, { run }, nowMs * 1_000)
        }

        fun restart() {
            owner = QuotaOwner(vm, tolerance)
            tokens = newTokens()
            up = true
            startedMs = nowMs
            live = BooleanArray(count)
            known = BooleanArray(count)
            refreshView()
            stepAt(nowMs)
        }

        fun refreshView() {
            live[index] = true
            known[index] = true
            view = QuotaView(vm, nodes.filter { known[it.index] }.mapTo(HashSet()) { it.vm }, vmsOf(live), quotas)
            tokens.update(view, nowMs)
        }

        private fun vmsOf(flags: BooleanArray): Set<VmName> = nodes.filter { flags[it.index] }.mapTo(HashSet()) { it.vm }

        fun stepAt(atMs: Long) {
            if (atMs >= nextStepMs) return
            nextStepMs = atMs
            at(atMs) { if (nextStepMs == atMs) step() }
        }

        private fun step() {
            nextStepMs = Long.MAX_VALUE
            if (!up) return
            if (paused) return stepAt(pausedUntilMs)
            owner.update(view, nowMs)
            tokens.requests(nowMs).forEach(::dispatch)
            stepAt(nowMs + minOf(100L, tokens.msUntilAction(nowMs)))
        }

        private fun dispatch(outgoing: OutgoingRequest) {
            if (outgoing.owner == vm) {
                owner.handle(outgoing.request, nowMs)?.let(::receive)
                return
            }
            val to = byName.getValue(outgoing.owner)
            send(this, to) { to.owner.handle(outgoing.request, nowMs)?.let { reply -> send(to, this) { receive(reply) } } }
        }

        private fun receive(reply: TokenReply) {
            tokens.receive(reply, nowMs)
            stepAt(nowMs)
        }

        /** Sends a caller's request of [team] to this daemon. */
        fun request(team: TeamName) {
            if (!up || paused) return
            val record = records.getValue(team)
            record.sent++
            val sentMs = nowMs
            tokens.acquire(team, nowMs) { ticket -> decided(team, record, ticket.decision!!, sentMs) }
            stepAt(nowMs)
        }

        private fun decided(team: TeamName, record: TeamRecord, decision: QuotaDecision, sentMs: Long) {
            record.waitedMs += nowMs - sentMs
            when (decision) {
                is QuotaDecision.Refused -> {
                    record.refusedMs += nowMs
                    if (decision.reason == QuotaRefusal.NO_OWNER) record.noOwner++
                }
                is QuotaDecision.Granted ->
                    if (random.nextDouble() < givesBack) {
                        at(nowMs + 1 + random.nextLong(20)) { if (up && !paused) tokens.giveBack(team, decision.token, nowMs) }
                    } else {
                        record.ranMs += nowMs
                    }
            }
        }
    }

    val random = SplittableRandom(seed)
    var nowMs = 1_000L
        private set
    var links = Links()
    var datagrams = 0L
    val records = initial.keys.associateWith { TeamRecord() }
    private val events = PriorityQueue<Event>(compareBy<Event> { it.atMs }.thenBy { it.order })
    private var order = 0L
    val tolerance = QuotaTolerance()
    val nodes = List(count) { Node(it) }
    private val byName = nodes.associateBy { it.vm }
    private val reachedMs = Array(count) { LongArray(count) { nowMs } }
    private val deathMs = Array(count) { LongArray(count) { 5_000L + random.nextLong(1_000) } }

    init {
        nodes.forEach { node ->
            node.live.fill(true)
            node.known.fill(true)
            node.refreshView()
            node.stepAt(nowMs + random.nextLong(100))
        }
        at(nowMs + GOSSIP_MS, ::gossip)
    }

    fun at(atMs: Long, action: () -> Unit) {
        events.add(Event(atMs, order++, action))
    }

    fun runUntil(untilMs: Long) {
        while (events.isNotEmpty() && events.peek().atMs <= untilMs) {
            val event = events.poll()
            nowMs = event.atMs
            event.action()
        }
        nowMs = untilMs
    }

    /** Sends requests of [team] at [perSecond] in total, at random intervals, until [untilMs]; [pick] chooses their daemons. */
    fun load(team: TeamName, perSecond: () -> Double, untilMs: Long, evenly: Boolean = false, pick: () -> Node) {
        sendFrom(nowMs.toDouble(), untilMs) { dueMs ->
            pick().request(team)
            val factor = if (evenly) 0.8 + 0.4 * random.nextDouble() else -Math.log(1 - random.nextDouble())
            dueMs + factor * 1_000 / perSecond()
        }
    }

    private fun sendFrom(dueMs: Double, untilMs: Long, send: (Double) -> Double) {
        if (dueMs >= untilMs) return
        at(dueMs.toLong()) { sendFrom(send(dueMs), untilMs, send) }
    }

    private fun send(from: Node, to: Node, receive: () -> Unit) {
        datagrams++
        val copies = if (random.nextDouble() < links.duplicates) 2 else 1
        repeat(copies) {
            if (random.nextDouble() >= links.loss) {
                val delayMs = links.minDelayMs + random.nextLong(links.maxDelayMs - links.minDelayMs + 1)
                at(nowMs + delayMs) { if (from.island == to.island) arrive(to, receive) }
            }
        }
    }

    private fun arrive(to: Node, receive: () -> Unit) {
        when {
            !to.up -> return
            !to.paused -> receive()
            // A stopped process finds the datagrams that fitted into the buffer of its socket.
            !to.losesWhilePaused && to.queued.size < SOCKET_BUFFER_DATAGRAMS -> to.queued += receive
        }
    }

    /** Stops [node] for [durationMs]; a suspended VM loses the datagrams of that time. */
    fun pause(node: Node, durationMs: Long, suspended: Boolean) {
        if (node.paused) return
        node.pausedUntilMs = nowMs + durationMs
        node.losesWhilePaused = suspended
        at(node.pausedUntilMs) {
            val missed = ArrayList(node.queued)
            node.queued.clear()
            if (node.up) missed.forEach { it() }
        }
    }

    private fun gossip() {
        nodes.forEach { node -> if (node.up && !node.paused) update(node) }
        at(nowMs + GOSSIP_MS, ::gossip)
    }

    private fun update(node: Node) {
        var changed = false
        nodes.forEach { peer ->
            if (peer === node) return@forEach
            val reachable = peer.up && !peer.paused && peer.island == node.island
            if (reachable) reachedMs[node.index][peer.index] = nowMs
            val isNewcomer = nowMs - maxOf(node.startedMs, peer.startedMs) < 100
            val isDead = !reachable && nowMs - reachedMs[node.index][peer.index] > deathMs[node.index][peer.index]
            val isUnknown = reachable && !node.live[peer.index] && !isNewcomer
            if (isUnknown && random.nextDouble() < LEARNED_SHARE) {
                node.live[peer.index] = true
                node.known[peer.index] = true
                changed = true
            }
            if (isDead && node.live[peer.index]) {
                node.live[peer.index] = false
                changed = true
            }
        }
        if (changed) node.refreshView()
    }

    fun changeQuotas(node: Node, quotas: Map<TeamName, TeamQuota>) {
        node.quotas = quotas
        node.refreshView()
    }

    private companion object {
        const val GOSSIP_MS = 200L
        const val LEARNED_SHARE = 0.8
        const val SOCKET_BUFFER_DATAGRAMS = 270
    }
}

/** Returns the highest number of [timesMs] within any span of [windowMs] that ends in [range]. */
internal fun highestInWindow(timesMs: List<Long>, windowMs: Long, range: LongRange = Long.MIN_VALUE..Long.MAX_VALUE): Int {
    var first = 0
    var highest = 0
    timesMs.forEachIndexed { last, atMs ->
        while (timesMs[first] <= atMs - windowMs) first++
        if (atMs in range) highest = maxOf(highest, last - first + 1)
    }
    return highest
}

internal fun boundOf(quota: TeamQuota): Double = (quota.ratePerSecond * 5 + quota.burst) * 1.1 + 20
