package org.endivestep.quota

import org.endivestep.document.TeamQuota
import org.endivestep.identity.DaemonIncarnation
import org.endivestep.identity.TeamName
import org.endivestep.identity.VmName
import java.util.random.RandomGenerator

/** A request for tokens and the owner that it goes to. */
internal class OutgoingRequest(val owner: VmName, val request: TokenRequest)

/**
 * Tokens of the teams whose requests this daemon runs: asks the owners for them, and gives them to requests.
 *
 * A request that finds no token waits for at most [MAX_WAIT_MS]. It is refused at once while all owners stated that they have none.
 * A token expires [TOKEN_VALIDITY_MS] after it was asked for. A pure state machine. Times are in ms of a clock that also counts
 * suspensions. Not thread-safe.
 */
internal class QuotaTokens(
    private val tolerance: QuotaTolerance,
    private val random: RandomGenerator,
    private val run: () -> DaemonIncarnation,
    firstSequence: Long,
) {
    private val teams = LinkedHashMap<TeamName, TeamTokens>()

    /** Until when owners that did not reply are not asked. */
    private val silentUntilMs = HashMap<VmName, Long>()

    /** Until when teams that had no limit before are not limited yet, because no owner grants their tokens so early. */
    private val graceUntilMs = HashMap<TeamName, Long>()
    private val contactMs = HashMap<VmName, Long>()
    private var view: QuotaView? = null
    private var sequence = firstSequence

    /** Number of teams whose requests use the fallback allowance. */
    val fallbackCount: Int get() = teams.values.count { it.fallback.isActive }

    /** Tokens that were granted too late, or were not used or given back in time. */
    var expiredTokens = 0L
        private set

    /** Takes the current members and limits over. */
    fun update(changed: QuotaView, nowMs: Long) {
        val before = view
        view = changed
        if (before?.isConfigured == true) {
            changed.quotas.keys.filter { it !in before.quotas }.forEach { graceUntilMs[it] = nowMs + NEW_LIMIT_GRACE_MS }
        }
        graceUntilMs.keys.retainAll(changed.quotas.keys)
        teams.filterKeys { it !in changed.quotas }.keys.forEach(::abandon)
        teams.forEach { (name, team) -> if (before?.quotas?.get(name) != changed.quotas[name]) team.emptyUntilMs.clear() }
        silentUntilMs.keys.retainAll(changed.allOwners)
        contactMs.keys.retainAll(changed.allOwners)
    }

    /** Takes a token of [team] for a request, or lets the request wait for one. [onDecided] may be called before this returns. */
    fun acquire(team: TeamName, nowMs: Long, onDecided: (QuotaTicket) -> Unit): QuotaTicket {
        val ticket = QuotaTicket(team, nowMs, onDecided)
        val quota = view?.quotas?.get(team)
        if (quota == null) {
            ticket.decide(QuotaDecision.Granted(Token(null, nowMs + TOKEN_VALIDITY_MS)))
            return ticket
        }
        val state = teams.getOrPut(team) { TeamTokens(FallbackAllowance(random)) }
        state.noteDemand(nowMs)
        if (isInGrace(team, nowMs)) {
            state.needsProbe = true
            ticket.decide(QuotaDecision.Granted(Token(null, nowMs + TOKEN_VALIDITY_MS)))
            return ticket
        }
        decideAtOnce(state, team, quota, nowMs)?.let(ticket::decide) ?: state.waiting.addLast(ticket)
        return ticket
    }

    private fun isInGrace(team: TeamName, nowMs: Long): Boolean {
        val untilMs = graceUntilMs[team] ?: return false
        if (nowMs >= untilMs) graceUntilMs.remove(team)
        return nowMs < untilMs
    }

    private fun decideAtOnce(state: TeamTokens, team: TeamName, quota: TeamQuota, nowMs: Long): QuotaDecision? {
        if (state.waiting.isEmpty()) state.take(nowMs)?.let { return QuotaDecision.Granted(it) }
        if (usesFallback(state, nowMs) && nowMs - (state.askedMs.values.maxOrNull() ?: NEVER) <= RECENT_ASK_MS) {
            state.needsProbe = true
            return fallback(state, quota, nowMs)
        }
        if (state.waiting.size < coveredCount(state, nowMs)) return null
        return emptyUntilMs(state, team, nowMs)?.let { limited(state, it, nowMs) }
    }

    /** Withdraws [ticket] where it still waits. */
    fun withdraw(ticket: QuotaTicket) {
        teams[ticket.team]?.waiting?.remove(ticket)
    }

    /** Withdraws [ticket] of a caller that has left; a token that it was granted in the meantime is kept for others. */
    fun cancel(ticket: QuotaTicket, nowMs: Long) {
        withdraw(ticket)
        (ticket.decision as? QuotaDecision.Granted)?.let { giveBack(ticket.team, it.token, nowMs) }
    }

    /** Takes back the [token] of a request that did not run. */
    fun giveBack(team: TeamName, token: Token, nowMs: Long) {
        val state = teams[team] ?: return
        if (token.owner == null || token.expiresMs <= nowMs) return
        state.add(token)
        state.serve(nowMs)
    }

    /** Returns the requests that are to be sent now, one per owner; decides the requests that have waited too long. */
    fun requests(nowMs: Long): List<OutgoingRequest> {
        val current = view ?: return emptyList()
        val demands = LinkedHashMap<VmName, MutableList<TokenDemand>>()
        val first = sequence + 1
        val sequences = HashMap<VmName, Long>()
        val add = { owner: VmName, demand: TokenDemand ->
            demands.getOrPut(owner, ::mutableListOf).add(demand)
            sequences.getOrPut(owner) { first + sequences.size }
        }
        teams.forEach { (name, team) -> current.quotas[name]?.let { plan(name, team, it, nowMs, add) } }
        teams.values.removeIf { nowMs - it.usedMs > IDLE_MS && it.waiting.isEmpty() && it.tokens.isEmpty() && it.pending.isEmpty() }
        current.allOwners.filter { isContactDue(it, nowMs) }.forEach {
            demands.getOrPut(it, ::mutableListOf)
            sequences.getOrPut(it) { first + sequences.size }
        }
        sequence += sequences.size
        return demands.map { (owner, entries) ->
            contactMs[owner] = nowMs
            OutgoingRequest(owner, TokenRequest(current.self, run(), sequences.getValue(owner), entries))
        }
    }

    /** Handles the reply to a request of this daemon. */
    fun receive(reply: TokenReply, nowMs: Long) {
        teams.forEach { (name, state) ->
            val demand = state.pending.firstOrNull { it.sequence == reply.sequence } ?: return@forEach
            state.pending.remove(demand)
            silentUntilMs.remove(demand.owner)
            val grant = reply.grants.firstOrNull { it.team == name }
            if (grant == null || !reply.isGranting) {
                state.foreignUntilMs[demand.owner] = nowMs + FOREIGN_MS
            } else {
                graceUntilMs.remove(name)
                receive(state, demand, grant, nowMs)
            }
        }
    }

    private fun receive(state: TeamTokens, demand: PendingDemand, grant: TokenGrant, nowMs: Long) {
        state.unanswered = 0
        state.needsProbe = false
        state.fallback.end()
        state.foreignUntilMs.remove(demand.owner)
        if (grant.nextTokenMs > 0) {
            state.emptyUntilMs[demand.owner] = nowMs + minOf(grant.nextTokenMs, MAX_EMPTY_MS)
            state.shortMs = nowMs
        }
        val expiresMs = demand.sentMs + TOKEN_VALIDITY_MS
        if (expiresMs <= nowMs) expiredTokens += grant.granted else repeat(grant.granted) { state.add(Token(demand.owner, expiresMs)) }
        state.serve(nowMs)
    }

    /** Returns the time in ms until [requests] has something to do. */
    fun msUntilAction(nowMs: Long): Long {
        var next = MAX_IDLE_MS
        teams.values.forEach { team ->
            team.waiting.firstOrNull()?.let { next = minOf(next, it.sinceMs + MAX_WAIT_MS - nowMs) }
            team.pending.forEach { if (nowMs - it.sentMs < REPLY_MS) next = minOf(next, it.sentMs + REPLY_MS - nowMs) }
            team.tokens.firstOrNull()?.let { next = minOf(next, msUntilReturn(it, nowMs)) }
        }
        return next.coerceAtLeast(MIN_STEP_MS)
    }

    private fun msUntilReturn(token: Token, nowMs: Long): Long {
        val returnMs = token.expiresMs - TeamTokens.RETURN_MS
        return if (returnMs > nowMs) returnMs - nowMs else token.expiresMs - nowMs
    }

    /** Returns the time in ms that is added to a caller's Retry-After, so that refused callers don't return at the same time. */
    fun retrySpreadMs(team: TeamName): Long {
        val perSecond = view?.quotas?.get(team)?.ratePerSecond ?: 1.0
        return random.nextLong(MIN_SPREAD_MS + (MS_PER_SECOND / perSecond).toLong().coerceAtMost(MAX_SPREAD_MS))
    }

    private fun plan(name: TeamName, state: TeamTokens, quota: TeamQuota, nowMs: Long, add: (VmName, TokenDemand) -> Long) {
        noteSilence(state, nowMs)
        val before = state.tokens.size
        state.dropExpired(nowMs)
        expiredTokens += before - state.tokens.size
        state.serve(nowMs)
        ask(name, state, quota, nowMs, add)
        refuseOverdue(state, quota, nowMs)
        val surplus = state.removeSurplus(nowMs)
        if (surplus.isNotEmpty()) add(surplus.first().owner ?: return, TokenDemand(name, wanted = 0, returned = surplus.size))
    }

    private fun noteSilence(state: TeamTokens, nowMs: Long) {
        state.pending.removeIf { nowMs - it.sentMs > TOKEN_VALIDITY_MS }
        state.pending.filter { !it.isOverdue && nowMs - it.sentMs >= REPLY_MS }.forEach {
            it.isOverdue = true
            silentUntilMs[it.owner] = nowMs + SILENT_MS
        }
    }

    private fun ask(name: TeamName, state: TeamTokens, quota: TeamQuota, nowMs: Long, add: (VmName, TokenDemand) -> Long) {
        val missing = missingCount(state, quota, nowMs)
        if (missing <= 0) return
        val owner = chooseOwner(state, name, nowMs)
        if (owner == null) {
            refuseLimited(name, state, nowMs)
            return
        }
        val wanted = minOf(missing, MAX_WANTED)
        val sent = add(owner, TokenDemand(name, wanted, returned = 0))
        state.pending += PendingDemand(sent, owner, wanted, nowMs)
        state.askedMs[owner] = nowMs
        if (state.unanswered++ == 0) state.unansweredSinceMs = nowMs
    }

    private fun missingCount(state: TeamTokens, quota: TeamQuota, nowMs: Long): Int {
        val available = state.tokens.size + coveredCount(state, nowMs)
        val stock = state.stock(quota.burst, nowMs)
        val needed = maxOf(state.waiting.size, if (state.needsProbe) 1 else 0)
        val refill = available - needed < (stock + 1) / 2
        return needed + (if (refill) stock else 0) - available
    }

    // Refuses the requests for which no token is asked for, where all owners that reply have none.
    private fun refuseLimited(name: TeamName, state: TeamTokens, nowMs: Long) {
        val untilMs = emptyUntilMs(state, name, nowMs) ?: return
        val covered = coveredCount(state, nowMs)
        while (state.waiting.size > covered) state.waiting.removeLast().decide(limited(state, untilMs, nowMs))
    }

    private fun refuseOverdue(state: TeamTokens, quota: TeamQuota, nowMs: Long) {
        while (state.waiting.isNotEmpty() && nowMs - state.waiting.first().sinceMs >= MAX_WAIT_MS) {
            val decision =
                if (usesFallback(state, nowMs)) fallback(state, quota, nowMs) else QuotaDecision.Refused(QuotaRefusal.NO_OWNER, MAX_WAIT_MS)
            state.waiting.removeFirst().decide(decision)
        }
    }

    private fun limited(state: TeamTokens, untilMs: Long, nowMs: Long): QuotaDecision {
        state.shortMs = nowMs
        return QuotaDecision.Refused(QuotaRefusal.LIMIT, untilMs - nowMs)
    }

    private fun usesFallback(state: TeamTokens, nowMs: Long): Boolean =
        state.unanswered >= MIN_UNANSWERED && nowMs - state.unansweredSinceMs >= FALLBACK_AFTER_MS

    private fun fallback(state: TeamTokens, quota: TeamQuota, nowMs: Long): QuotaDecision {
        val daemons = view?.known?.size ?: 1
        val perSecond = tolerance.fallbackPerSecond(quota) / daemons
        if (perSecond <= 0) return QuotaDecision.Refused(QuotaRefusal.NO_OWNER, MAX_SPREAD_MS)
        val periodMs = (MS_PER_SECOND / perSecond).toLong()
        state.fallback.begin(periodMs, nowMs)
        if (state.fallback.tryTake(periodMs, nowMs)) return QuotaDecision.Granted(Token(null, nowMs + TOKEN_VALIDITY_MS))
        return QuotaDecision.Refused(QuotaRefusal.NO_OWNER, minOf(state.fallback.nextMs(nowMs), MAX_SPREAD_MS))
    }

    // Tokens that were asked for so recently that the reply may still come.
    private fun coveredCount(state: TeamTokens, nowMs: Long): Int =
        state.pending.sumOf { if (nowMs - it.sentMs < REPLY_MS) it.wanted else 0 }

    private fun chooseOwner(state: TeamTokens, name: TeamName, nowMs: Long): VmName? {
        val owners = view?.owners(name).orEmpty()
        val open = owners.filter { replies(state, it, nowMs) && (state.emptyUntilMs[it] ?: NEVER) <= nowMs }
        // By turns, so that both buckets are used alike.
        open.minByOrNull { state.askedMs[it] ?: NEVER }?.let { return it }
        if (owners.any { replies(state, it, nowMs) }) return null
        return owners.filter { nowMs - (state.askedMs[it] ?: NEVER) >= PROBE_MS }.minByOrNull { state.askedMs[it] ?: NEVER }
    }

    /** Returns until when no owner that replies has a token; null when one may have one, or none replies. */
    private fun emptyUntilMs(state: TeamTokens, name: TeamName, nowMs: Long): Long? {
        val replying = view?.owners(name).orEmpty().filter { replies(state, it, nowMs) }
        if (replying.isEmpty()) return null
        val untilMs = replying.minOf { state.emptyUntilMs[it] ?: NEVER }
        return untilMs.takeIf { it > nowMs }
    }

    private fun replies(state: TeamTokens, owner: VmName, nowMs: Long): Boolean =
        (silentUntilMs[owner] ?: NEVER) <= nowMs && (state.foreignUntilMs[owner] ?: NEVER) <= nowMs

    private fun isContactDue(owner: VmName, nowMs: Long): Boolean =
        owner != view?.self && nowMs - (contactMs[owner] ?: NEVER) >= CONTACT_MS

    private fun abandon(team: TeamName) {
        val state = teams.remove(team) ?: return
        // The limit was taken away, so nothing is refused any more.
        state.waiting.forEach { it.decide(QuotaDecision.Granted(Token(null, it.sinceMs + TOKEN_VALIDITY_MS))) }
    }

    companion object {
        /** A request waits for a token no longer than this. */
        const val MAX_WAIT_MS = 150L

        // A reply takes a few ms; after this time the other owner is asked.
        private const val REPLY_MS = 50L
        private const val SILENT_MS = 500L
        private const val FOREIGN_MS = 200L
        private const val PROBE_MS = 50L

        // Owners need a sign of each daemon in QuotaOwner.HEARD_MS, and one datagram in two may be lost without harm as
        // a majority is enough.
        private const val CONTACT_MS = 2_000L
        private const val FALLBACK_AFTER_MS = 500L

        // A single lost datagram of a team that is rarely used does not show that its owners are gone.
        private const val MIN_UNANSWERED = 4
        private const val RECENT_ASK_MS = 1_000L
        private const val MAX_EMPTY_MS = 2_000L
        private const val MAX_WANTED = 256

        // An owner grants a team's tokens QuotaOwner.OWNER_MS after it has read the limit, which it may do later than this daemon.
        private const val NEW_LIMIT_GRACE_MS = 2_500L
        private const val IDLE_MS = 10_000L
        private const val MAX_IDLE_MS = 1_000L
        private const val MIN_STEP_MS = 1L
        private const val MS_PER_SECOND = 1_000.0
        private const val MIN_SPREAD_MS = 500L
        private const val MAX_SPREAD_MS = 5_000L
        private const val NEVER = TeamTokens.NEVER
    }
}
