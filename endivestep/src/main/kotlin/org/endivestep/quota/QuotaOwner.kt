package org.endivestep.quota

import org.endivestep.document.TeamQuota
import org.endivestep.identity.TeamName
import org.endivestep.identity.VmName

/** Why a daemon grants no tokens of the teams that it owns. */
internal enum class GrantState(val text: String) {
    GRANTING("granting"),
    STARTING("it waits, as it has heard from most daemons for less than 3 s"),
    NO_MAJORITY("it has not heard from most daemons"),
}

/**
 * Grants tokens of the teams that this daemon owns, each with its share of the team's rate and burst.
 *
 * The daemon grants only while it has heard from more than half of the known members within [HEARD_MS], and has done so for that long:
 * an owner that the same members have just left may grant until then. It grants only tokens of teams that it has owned for [OWNER_MS].
 * An unreachable owner stops granting before its peers replace it, as gossip takes 5 s to declare a member dead. When the majority or
 * the ownership is lost, or this daemon was paused, the buckets begin anew, empty.
 *
 * A pure state machine. Times are in ms of a clock that also counts suspensions. Not thread-safe.
 */
internal class QuotaOwner(private val self: VmName, private val tolerance: QuotaTolerance) {
    private class OwnedTeam(val sinceMs: Long) {
        val bucket = TokenBucket(sinceMs)
        val grants = RecentGrants()
    }

    private val teams = HashMap<TeamName, OwnedTeam>()
    private val heardMs = HashMap<VmName, Long>()
    private val sequences = HashMap<VmName, RecentSequences>()
    private var known: Set<VmName> = setOf(self)
    private var seenView: QuotaView? = null
    private var updatedMs = NEVER
    private var ignoreUntilMs = 0L
    private var majoritySinceMs = NEVER

    /** What decides whether tokens are granted, as of the last [update]. */
    var state = GrantState.STARTING
        private set

    /** Members heard from within [HEARD_MS], this daemon included, as of the last [update]. */
    var heardCount = 0
        private set

    val ownedCount: Int get() = teams.size

    /** Takes the current members and limits over; to be called at least every [MAX_GAP_MS] / 2. */
    fun update(view: QuotaView, nowMs: Long) {
        if (updatedMs == NEVER || nowMs - updatedMs > MAX_GAP_MS) restart(nowMs)
        if (view === seenView && nowMs - updatedMs < UPDATE_MS) return
        seenView = view
        updatedMs = nowMs
        known = view.known
        heardMs.keys.retainAll(known)
        sequences.keys.retainAll(known)
        heardCount = known.count { it == self || nowMs - (heardMs[it] ?: NEVER) <= HEARD_MS }
        val hasMajority = heardCount * 2 > known.size
        if (!hasMajority) {
            majoritySinceMs = NEVER
        } else if (majoritySinceMs == NEVER) {
            majoritySinceMs = nowMs
        }
        state = currentState(nowMs)
        if (state == GrantState.GRANTING) own(view, nowMs) else teams.clear()
    }

    /** Records a datagram from [vm] that cannot have waited for long. */
    fun heard(vm: VmName, nowMs: Long) {
        if (isCurrent(nowMs) && nowMs >= ignoreUntilMs && vm in known) heardMs[vm] = nowMs
    }

    /** Returns the reply to [request], or null when it needs none: it was handled before, or has no demands. */
    fun handle(request: TokenRequest, nowMs: Long): TokenReply? {
        heard(request.sender, nowMs)
        if (request.sender !in known && request.sender != self) return null
        if (!sequences.getOrPut(request.sender, ::RecentSequences).accept(request.run, request.sequence)) return null
        if (request.demands.isEmpty()) return null
        if (!isCurrent(nowMs) || state != GrantState.GRANTING) return TokenReply(request.sequence, isGranting = false, emptyList())
        val grants = request.demands.take(MAX_DEMANDS).mapNotNull { grant(it, nowMs) }
        return TokenReply(request.sequence, isGranting = true, grants)
    }

    private fun grant(demand: TokenDemand, nowMs: Long): TokenGrant? {
        val team = teams[demand.team] ?: return null
        if (nowMs - team.sinceMs < OWNER_MS) return null
        if (demand.returned > 0) team.bucket.putBack(team.grants.takeBack(demand.returned, nowMs), nowMs)
        val granted = team.bucket.take(demand.wanted.coerceIn(0, MAX_TOKENS), nowMs)
        team.grants.add(granted, nowMs)
        val nextMs = if (granted >= demand.wanted) 0 else team.bucket.nextTokenMs(nowMs)
        return TokenGrant(demand.team, granted, nextMs)
    }

    // Datagrams that arrived during a pause are still queued; they do not show that their senders reach this daemon now.
    private fun restart(nowMs: Long) {
        majoritySinceMs = NEVER
        ignoreUntilMs = if (updatedMs == NEVER) nowMs else nowMs + QUEUED_MS
        heardMs.clear()
        teams.clear()
    }

    private fun currentState(nowMs: Long): GrantState =
        when {
            majoritySinceMs == NEVER -> GrantState.NO_MAJORITY
            nowMs - majoritySinceMs < HEARD_MS -> GrantState.STARTING
            else -> GrantState.GRANTING
        }

    private fun own(view: QuotaView, nowMs: Long) {
        teams.keys.retainAll(view.owned)
        view.owned.forEach { name ->
            val team = teams.getOrPut(name) { OwnedTeam(nowMs) }
            view.quotas[name]?.let { configure(team.bucket, it, view.ownersPerTeam, nowMs) }
        }
    }

    private fun configure(bucket: TokenBucket, quota: TeamQuota, owners: Int, nowMs: Long) =
        bucket.configure(quota.ratePerSecond / owners, maxOf(1.0, quota.burst / owners) + tolerance.headroom, nowMs)

    private fun isCurrent(nowMs: Long): Boolean = updatedMs != NEVER && nowMs - updatedMs <= MAX_GAP_MS

    companion object {
        /** A member counts as reachable for this time after a datagram from it. */
        const val HEARD_MS = 3_000L

        /** Time between becoming an owner and the first grant, during which the earlier owner learns of it. */
        const val OWNER_MS = 1_000L

        /** A longer time without [update] counts as a pause of the process. */
        const val MAX_GAP_MS = 1_000L

        private const val UPDATE_MS = 100L

        // Time to read the datagrams that were queued during a pause.
        private const val QUEUED_MS = 300L
        private const val MAX_DEMANDS = 1_000
        private const val MAX_TOKENS = 1_000
        private const val NEVER = Long.MIN_VALUE / 4
    }
}
