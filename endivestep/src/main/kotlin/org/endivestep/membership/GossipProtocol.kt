package org.endivestep.membership

import org.endivestep.configuration.DataCentreOverride
import org.endivestep.identity.ConfigurationVersion
import org.endivestep.identity.VmName
import org.endivestep.quarantine.SuspicionEntry
import org.endivestep.settings.Address
import java.util.random.RandomGenerator

/** Kind of a gossip message. */
internal enum class GossipType { PING, ACK, PING_REQUEST, UPDATE }

/** One datagram between daemons. Every message carries news, whatever its type. */
internal data class GossipMessage(
    val type: GossipType,
    val from: VmName,
    val sequence: Long,
    val target: VmName?,
    val configurationVersion: ConfigurationVersion,
    val members: List<MemberInfo>,
    val suspicions: List<SuspicionEntry>,
    val overrides: List<DataCentreOverride>,
    val digest: Long,
)

/** What the protocol wants done. */
internal sealed interface GossipAction {
    data class Send(val to: Address, val message: GossipMessage) : GossipAction

    /** Exchange whole tables with [peer], because digests stay different. */
    data class Synchronize(val peer: Address) : GossipAction

    /** [peer] has a newer configuration. */
    data class FetchConfiguration(val peer: Address) : GossipAction

    /** Suspicions that came from another daemon. */
    data class Suspicions(val entries: List<SuspicionEntry>) : GossipAction

    /** Overrides of which this daemon does not have all. */
    data class Overrides(val entries: List<DataCentreOverride>) : GossipAction
}

/**
 * SWIM membership: random probes, indirect probes, suspicion before death, piggybacked updates;
 * every message also carries the sender's configuration version and the overrides of it.
 *
 * A pure state machine: events go in with the time in ms, actions come out. Not thread-safe.
 */
internal class GossipProtocol(
    self: MemberInfo,
    private val random: RandomGenerator,
    private val settings: GossipSettings = GossipSettings(),
    private val overrides: () -> List<DataCentreOverride> = { emptyList() },
    private val configurationVersion: () -> ConfigurationVersion,
) {
    private class Probe(val target: MemberInfo, val sentMs: Long, var indirect: Boolean)

    private val table = MembershipTable(self)
    private val dissemination = Dissemination()
    private val suspicions = SuspicionNews()
    private val probes = HashMap<Long, Probe>()
    private val relayed = HashMap<Long, Pair<Address, Long>>()
    private var order = ArrayDeque<VmName>()
    private var nextSequence = 0L
    private var nextPeriodMs = 0L
    private var mismatches = 0
    private var nextSynchronizeMs = 0L
    private var nextUnknownSenderMs = 0L

    init {
        dissemination.add(self)
    }

    val members: Collection<MemberInfo> get() = table.members
    val self: MemberInfo get() = table.self

    /** Counts the changes of the members. */
    val changes: Long get() = table.changes

    /** States [change] of this daemon and tells some peers at once. */
    fun stateSelf(change: (MemberInfo) -> MemberInfo): List<GossipAction> {
        dissemination.add(table.stateSelf(change))
        return push()
    }

    /** Tells some peers at once of a new configuration version or of suspicions. */
    fun tell(entries: List<SuspicionEntry> = emptyList()): List<GossipAction> {
        suspicions.add(entries)
        return push()
    }

    /**
     * Takes in a whole table, for example when joining. Only a few differences are sent on: a peer
     * that knows many more members is not the only one that knows them.
     */
    fun mergeAll(infos: Collection<MemberInfo>, nowMs: Long): List<GossipAction> {
        val news = infos.mapNotNull { table.merge(it, nowMs) }
        if (news.size > settings.membersAMessage) return push()
        news.forEach(dissemination::add)
        return if (news.isEmpty()) emptyList() else push()
    }

    /**
     * Announces this daemon to those at [addresses], of which it knows nothing else. Each answers with
     * its own statement, so that daemons that start together know one another after one exchange.
     */
    fun announceTo(addresses: List<Address>): List<GossipAction> =
        addresses.map { GossipAction.Send(it, compose(GossipType.PING, nextSequence++, introduces = true)) }

    /** Lets time pass: probes, time-outs, suspicion, removal. */
    fun tick(nowMs: Long): List<GossipAction> {
        val actions = mutableListOf<GossipAction>()
        actions += probeIndirectly(nowMs)
        if (nowMs >= nextPeriodMs) {
            nextPeriodMs = nowMs + settings.periodMs
            expire(nowMs)
            actions += probeNext(nowMs)
        }
        return actions
    }

    /** Takes in [message], which came from [source]. */
    fun receive(message: GossipMessage, source: Address, nowMs: Long): List<GossipAction> {
        val actions = mutableListOf<GossipAction>()
        val news = message.members.mapNotNull { table.merge(it, nowMs) }
        news.forEach(dissemination::add)
        val isIntroduction = news.any { it.vm == message.from }
        if (table.find(message.from) == null) actions += askUnknownSender(source, nowMs)
        // A peer that still tells of an earlier state of this daemon hears of the current one.
        if (message.members.any { table.self.supersedes(it) && it.vm == table.self.vm }) dissemination.add(table.self)
        val freshSuspicions = suspicions.fresh(message.suspicions)
        if (freshSuspicions.isNotEmpty()) actions += GossipAction.Suspicions(freshSuspicions)
        if (news.isNotEmpty() || freshSuspicions.isNotEmpty()) actions += push()
        if (!overrides().containsAll(message.overrides)) actions += GossipAction.Overrides(message.overrides)
        if (message.configurationVersion > configurationVersion()) actions += GossipAction.FetchConfiguration(source)
        actions += answer(message, source, isIntroduction)
        actions += compareDigest(message, source, nowMs)
        return actions
    }

    // A peer that this daemon does not know remembers an earlier run of it, and knows the other members.
    private fun askUnknownSender(source: Address, nowMs: Long): List<GossipAction> {
        if (nowMs < nextUnknownSenderMs) return emptyList()
        nextUnknownSenderMs = nowMs + settings.periodMs
        return listOf(GossipAction.Synchronize(source))
    }

    private fun answer(message: GossipMessage, source: Address, introduces: Boolean): List<GossipAction> =
        when (message.type) {
            GossipType.PING ->
                listOf(GossipAction.Send(source, compose(GossipType.ACK, message.sequence, about = message.from, introduces = introduces)))
            GossipType.ACK -> acknowledged(message.sequence)
            GossipType.PING_REQUEST -> relayPing(message, source)
            GossipType.UPDATE -> emptyList()
        }

    private fun acknowledged(sequence: Long): List<GossipAction> {
        probes.remove(sequence)
        val (requester, original) = relayed.remove(sequence) ?: return emptyList()
        return listOf(GossipAction.Send(requester, compose(GossipType.ACK, original)))
    }

    private fun relayPing(message: GossipMessage, source: Address): List<GossipAction> {
        val target = message.target?.let(table::find) ?: return emptyList()
        val sequence = nextSequence++
        relayed[sequence] = source to message.sequence
        if (relayed.size > MAX_RELAYED) relayed.remove(relayed.keys.min())
        return listOf(GossipAction.Send(target.inner, compose(GossipType.PING, sequence, about = target.vm)))
    }

    private fun compareDigest(message: GossipMessage, source: Address, nowMs: Long): List<GossipAction> {
        val quiet = dissemination.isEmpty && message.members.isEmpty()
        if (message.digest == table.digest || !quiet) return emptyList()
        mismatches++
        if (mismatches < settings.mismatchesToSynchronize || nowMs < nextSynchronizeMs) return emptyList()
        mismatches = 0
        nextSynchronizeMs = nowMs + settings.synchronizeEveryMs
        return listOf(GossipAction.Synchronize(source))
    }

    private fun probeNext(nowMs: Long): List<GossipAction> {
        val target = nextTarget() ?: return emptyList()
        val sequence = nextSequence++
        probes[sequence] = Probe(target, nowMs, indirect = false)
        val sends = mutableListOf<GossipAction>(ping(target, sequence))
        // A partition that healed is found by asking the dead now and then.
        lostMember()?.let { sends += ping(it, nextSequence++) }
        return sends
    }

    private fun ping(target: MemberInfo, sequence: Long) =
        GossipAction.Send(target.inner, compose(GossipType.PING, sequence, about = target.vm))

    private fun probeIndirectly(nowMs: Long): List<GossipAction> =
        probes
            .filter { !it.value.indirect && nowMs - it.value.sentMs >= settings.ackTimeoutMs }
            .flatMap { (sequence, probe) ->
                probe.indirect = true
                randomPeers(settings.indirectProbes, except = probe.target.vm).map {
                    GossipAction.Send(it.inner, compose(GossipType.PING_REQUEST, sequence, target = probe.target.vm))
                }
            }

    private fun expire(nowMs: Long) {
        val overdue = probes.filter { nowMs - it.value.sentMs >= settings.periodMs }
        overdue.forEach { (sequence, probe) ->
            probes.remove(sequence)
            suspect(probe.target, nowMs)
        }
        table.olderThan(MemberState.SUSPECT, settings.suspicionMs, nowMs).forEach { change(it, MemberState.DEAD, nowMs) }
        table.olderThan(MemberState.DEAD, settings.deadKeptMs, nowMs).forEach { table.remove(it.vm) }
        table.olderThan(MemberState.LEFT, settings.leftKeptMs, nowMs).forEach { table.remove(it.vm) }
    }

    private fun suspect(target: MemberInfo, nowMs: Long) {
        val known = table.find(target.vm) ?: return
        if (known.state == MemberState.ALIVE && known.incarnation == target.incarnation) {
            change(known, MemberState.SUSPECT, nowMs)
        }
    }

    private fun change(info: MemberInfo, state: MemberState, nowMs: Long) {
        table.merge(info.copy(state = state), nowMs)?.let(dissemination::add)
    }

    private fun nextTarget(): MemberInfo? {
        repeat(2) {
            while (order.isNotEmpty()) {
                val info = table.find(order.removeFirst())
                if (info != null && isReachable(info)) return info
            }
            order = ArrayDeque(shuffled(table.members.filter(::isReachable).map { it.vm }))
        }
        return null
    }

    private fun lostMember(): MemberInfo? {
        if (random.nextInt(LOST_PROBE_PERIODS) != 0) return null
        val lost = table.members.filter { it.state == MemberState.DEAD }
        return if (lost.isEmpty()) null else lost[random.nextInt(lost.size)]
    }

    private fun push(): List<GossipAction> =
        randomPeers(settings.pushFanout, except = null).map {
            GossipAction.Send(it.inner, compose(GossipType.UPDATE, nextSequence++))
        }

    private fun compose(
        type: GossipType,
        sequence: Long,
        target: VmName? = null,
        about: VmName? = null,
        introduces: Boolean = false,
    ): GossipMessage {
        val news = dissemination.take(settings.membersAMessage, table.members.size)
        // A member that is not thought alive hears of it, so that it can answer.
        val subject = about?.let(table::find)?.takeIf { it.state != MemberState.ALIVE && it !in news }
        val self = table.self.takeIf { introduces && it !in news }
        return GossipMessage(
            type = type,
            from = table.self.vm,
            sequence = sequence,
            target = target,
            configurationVersion = configurationVersion(),
            members = news + listOfNotNull(subject, self),
            suspicions = suspicions.take(),
            overrides = overrides(),
            digest = table.digest,
        )
    }

    private fun isReachable(info: MemberInfo): Boolean =
        info.vm != table.self.vm && (info.state == MemberState.ALIVE || info.state == MemberState.SUSPECT)

    private fun randomPeers(count: Int, except: VmName?): List<MemberInfo> =
        shuffled(table.members.filter { isReachable(it) && it.vm != except }).take(count)

    private fun <T> shuffled(items: List<T>): List<T> {
        val copy = items.toMutableList()
        for (index in copy.lastIndex downTo 1) {
            val other = random.nextInt(index + 1)
            val held = copy[index]
            copy[index] = copy[other]
            copy[other] = held
        }
        return copy
    }

    private companion object {
        const val MAX_RELAYED = 256
        const val LOST_PROBE_PERIODS = 5
    }
}
