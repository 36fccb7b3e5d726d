package org.endivestep.membership

import org.endivestep.configuration.ConfigurationPosition
import org.endivestep.configuration.DataCentreOverride
import org.endivestep.identity.VmName
import org.endivestep.quarantine.SuspicionEntry
import org.endivestep.settings.Address
import org.endivestep.store.StoreEra
import org.endivestep.store.firstStoreEra
import java.util.random.RandomGenerator

/**
 * SWIM membership protocol: random probes, indirect probes, suspicion before death, and piggybacked updates.
 * Every message also carries the position of the sender's configuration, the era of the store, and its overrides.
 *
 * A pure state machine: it is passed events with the current time in ms, and returns actions. Not thread-safe.
 */
internal class GossipProtocol(
    self: MemberInfo,
    private val random: RandomGenerator,
    private val settings: GossipSettings = GossipSettings(),
    private val overrides: () -> List<DataCentreOverride> = { emptyList() },
    private val storeEra: () -> StoreEra = { firstStoreEra },
    /** Returns the suspicions that this daemon has, the gravest first. */
    private val knownSuspicions: () -> List<SuspicionEntry> = { emptyList() },
    private val configuration: () -> ConfigurationPosition,
) {
    private class Probe(val target: MemberInfo, val sentMs: Long, var indirect: Boolean)

    private val table = MembershipTable(self)
    private val dissemination = Dissemination()
    private val suspicions = SuspicionDissemination()
    private val probes = HashMap<Long, Probe>()
    private val relayedPings = HashMap<Long, Pair<Address, Long>>()
    private var probeOrder = ArrayDeque<VmName>()
    private var nextSequence = 0L
    private var nextPeriodMs = 0L
    private var digestMismatches = 0
    private var nextSynchronizeMs = 0L
    private var nextUnknownSenderMs = 0L

    init {
        dissemination.add(self)
    }

    val members: Collection<MemberInfo> get() = table.members
    val self: MemberInfo get() = table.self

    /** Number of changes of the members so far. */
    val changes: Long get() = table.changes

    /** Applies [change] to this daemon's own entry and sends it to some peers immediately. */
    fun updateSelf(change: (MemberInfo) -> MemberInfo): List<GossipAction> {
        dissemination.add(table.updateSelf(change))
        return push()
    }

    /** Sends a new configuration version or suspicions to some peers immediately. */
    fun pushUpdate(entries: List<SuspicionEntry> = emptyList()): List<GossipAction> {
        suspicions.add(entries)
        return push()
    }

    /**
     * Merges a full table, for example when joining. The differences are disseminated only when they are few: when
     * the peer knows many more members, other daemons know them as well.
     */
    fun mergeAll(infos: Collection<MemberInfo>, nowMs: Long): List<GossipAction> {
        val updates = infos.mapNotNull { table.merge(it, nowMs) }
        if (updates.size > settings.membersPerMessage) return push()
        updates.forEach(dissemination::add)
        return if (updates.isEmpty()) emptyList() else push()
    }

    /**
     * Announces this daemon to the daemons at [addresses], of which only the address is known. Each replies with its
     * own entry, so that daemons that start together know one another after one round trip.
     */
    fun announceTo(addresses: List<Address>): List<GossipAction> =
        addresses.map { GossipAction.Send(it, compose(GossipType.PING, nextSequence++, includesSelf = true)) }

    /** Advances time: sends probes, handles timeouts, and expires suspicions and removed members. */
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

    /** Returns the time in ms until [tick] has something to do, 0 when it is due. */
    fun msUntilTick(nowMs: Long): Long {
        val indirectMs = probes.values.filter { !it.indirect }.minOfOrNull { it.sentMs + settings.ackTimeoutMs } ?: Long.MAX_VALUE
        return (minOf(nextPeriodMs, indirectMs) - nowMs).coerceAtLeast(0)
    }

    /** Handles [message], received from [source]. */
    fun receive(message: GossipMessage, source: Address, nowMs: Long): List<GossipAction> {
        val actions = mutableListOf<GossipAction>()
        val knownRun = table.find(message.from)?.incarnation
        val updates = message.members.mapNotNull { table.merge(it, nowMs) }
        updates.forEach(dissemination::add)
        val isIntroduction = updates.any { it.vm == message.from }
        if (table.find(message.from) == null) actions += synchronizeWithUnknownSender(source, nowMs)
        // A peer that sends an outdated entry of this daemon is sent the current one.
        if (message.members.any { table.self.supersedes(it) && it.vm == table.self.vm }) dissemination.add(table.self)
        val newSuspicions = suspicions.addNew(message.suspicions)
        if (newSuspicions.isNotEmpty()) actions += GossipAction.Suspicions(newSuspicions)
        if (updates.isNotEmpty() || newSuspicions.isNotEmpty()) actions += push()
        if (!overrides().containsAll(message.overrides)) actions += GossipAction.Overrides(message.overrides)
        if (message.storeEra > storeEra()) actions += GossipAction.StoreRestored(message.storeEra)
        if (message.configuration > configuration()) actions += GossipAction.FetchConfiguration(source)
        actions += respond(message, source, isIntroduction)
        if (isIntroduction && table.find(message.from)?.incarnation != knownRun) actions += sendSuspicions(source)
        actions += compareDigest(message, source, nowMs)
        return actions
    }

    // An unknown sender knows this daemon from an earlier run, and also knows the other members.
    private fun synchronizeWithUnknownSender(source: Address, nowMs: Long): List<GossipAction> {
        if (nowMs < nextUnknownSenderMs) return emptyList()
        nextUnknownSenderMs = nowMs + settings.periodMs
        return listOf(GossipAction.Synchronize(source))
    }

    // A daemon that has just started knows none of the suspicions that were disseminated before.
    private fun sendSuspicions(to: Address): List<GossipAction> =
        knownSuspicions().take(MAX_SUSPICIONS_SENT).chunked(SuspicionDissemination.ENTRIES_PER_MESSAGE).map {
            GossipAction.Send(to, compose(GossipType.UPDATE, nextSequence++, entries = it))
        }

    private fun respond(message: GossipMessage, source: Address, isIntroduction: Boolean): List<GossipAction> =
        when (message.type) {
            GossipType.PING ->
                listOf(
                    GossipAction.Send(
                        source,
                        compose(GossipType.ACK, message.sequence, subject = message.from, includesSelf = isIntroduction),
                    ),
                )
            GossipType.ACK -> handleAck(message.sequence)
            GossipType.PING_REQUEST -> relayPing(message, source)
            GossipType.UPDATE -> emptyList()
        }

    private fun handleAck(sequence: Long): List<GossipAction> {
        probes.remove(sequence)
        val (requester, original) = relayedPings.remove(sequence) ?: return emptyList()
        return listOf(GossipAction.Send(requester, compose(GossipType.ACK, original)))
    }

    private fun relayPing(message: GossipMessage, source: Address): List<GossipAction> {
        val target = message.target?.let(table::find) ?: return emptyList()
        val sequence = nextSequence++
        relayedPings[sequence] = source to message.sequence
        if (relayedPings.size > MAX_RELAYED_PINGS) relayedPings.remove(relayedPings.keys.min())
        return listOf(GossipAction.Send(target.inner, compose(GossipType.PING, sequence, subject = target.vm)))
    }

    private fun compareDigest(message: GossipMessage, source: Address, nowMs: Long): List<GossipAction> {
        val hasNoUpdates = dissemination.isEmpty && message.members.isEmpty()
        if (message.digest == table.digest || !hasNoUpdates) return emptyList()
        digestMismatches++
        if (digestMismatches < settings.mismatchesBeforeSynchronize || nowMs < nextSynchronizeMs) return emptyList()
        digestMismatches = 0
        nextSynchronizeMs = nowMs + settings.synchronizeIntervalMs
        return listOf(GossipAction.Synchronize(source))
    }

    private fun probeNext(nowMs: Long): List<GossipAction> {
        val target = nextTarget() ?: return emptyList()
        val sequence = nextSequence++
        probes[sequence] = Probe(target, nowMs, indirect = false)
        val sends = mutableListOf<GossipAction>(ping(target, sequence))
        // Dead members are probed occasionally, so that a healed partition is detected.
        sampleDeadMember()?.let { sends += ping(it, nextSequence++) }
        return sends
    }

    private fun ping(target: MemberInfo, sequence: Long) =
        GossipAction.Send(target.inner, compose(GossipType.PING, sequence, subject = target.vm))

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
        val timedOut = probes.filter { nowMs - it.value.sentMs >= settings.periodMs }
        timedOut.forEach { (sequence, probe) ->
            probes.remove(sequence)
            suspect(probe.target, nowMs)
        }
        table.olderThan(MemberState.SUSPECT, settings.suspicionMs, nowMs).forEach { changeState(it, MemberState.DEAD, nowMs) }
        table.olderThan(MemberState.DEAD, settings.deadRetentionMs, nowMs).forEach { table.remove(it.vm) }
        table.olderThan(MemberState.LEFT, settings.leftRetentionMs, nowMs).forEach { table.remove(it.vm) }
    }

    private fun suspect(target: MemberInfo, nowMs: Long) {
        val known = table.find(target.vm) ?: return
        if (known.state == MemberState.ALIVE && known.incarnation == target.incarnation) {
            changeState(known, MemberState.SUSPECT, nowMs)
        }
    }

    private fun changeState(info: MemberInfo, state: MemberState, nowMs: Long) {
        table.merge(info.copy(state = state), nowMs)?.let(dissemination::add)
    }

    private fun nextTarget(): MemberInfo? {
        repeat(2) {
            while (probeOrder.isNotEmpty()) {
                val info = table.find(probeOrder.removeFirst())
                if (info != null && isReachable(info)) return info
            }
            probeOrder = ArrayDeque(shuffled(table.members.filter(::isReachable).map { it.vm }))
        }
        return null
    }

    private fun sampleDeadMember(): MemberInfo? {
        if (random.nextInt(DEAD_PROBE_PERIODS) != 0) return null
        val dead = table.members.filter { it.state == MemberState.DEAD }
        return if (dead.isEmpty()) null else dead[random.nextInt(dead.size)]
    }

    private fun push(): List<GossipAction> =
        randomPeers(settings.pushFanout, except = null).map {
            GossipAction.Send(it.inner, compose(GossipType.UPDATE, nextSequence++))
        }

    private fun compose(
        type: GossipType,
        sequence: Long,
        target: VmName? = null,
        subject: VmName? = null,
        includesSelf: Boolean = false,
        entries: List<SuspicionEntry>? = null,
    ): GossipMessage {
        val updates = dissemination.take(settings.membersPerMessage, table.members.size)
        // A member that is not considered alive is sent its entry, so that it can refute it.
        val subjectEntry = subject?.let(table::find)?.takeIf { it.state != MemberState.ALIVE && it !in updates }
        val self = table.self.takeIf { includesSelf && it !in updates }
        return GossipMessage(
            type = type,
            from = table.self.vm,
            sequence = sequence,
            target = target,
            configuration = configuration(),
            storeEra = storeEra(),
            members = updates + listOfNotNull(subjectEntry, self),
            suspicions = entries ?: suspicions.take(),
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
            val swapped = copy[index]
            copy[index] = copy[other]
            copy[other] = swapped
        }
        return copy
    }

    private companion object {
        const val MAX_RELAYED_PINGS = 256
        const val MAX_SUSPICIONS_SENT = 24
        const val DEAD_PROBE_PERIODS = 5
    }
}
