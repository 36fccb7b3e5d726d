package org.endivestep.admission

import org.endivestep.exchange.RequestRank
import org.endivestep.identity.TeamName

/**
 * A request that waits for admission to the worker; [workMs] is its expected processing time, 0 when
 * unknown.
 */
internal open class WaitingRequest(val rank: RequestRank, val workMs: Double) {
    /** Time after which the request is late if its processing has not begun. */
    val lateAfterMs: Long get() = (rank.objectiveAtMs - workMs * WORK_TIME_MARGIN).toLong()

    /**
     * Time until which the request may wait; after that it cannot be answered before its deadline, or another worker is a better
     * choice.
     */
    var waitsUntilMs = Long.MAX_VALUE

    /** Work in ms by which its team is ahead of an idle one when this request begins, see [FairShares]; 0 without a team. */
    var leadMs = 0.0

    /** Whether the queue was already too long at arrival for the request to meet its objective. */
    var arrivedTooLate = false
        private set

    /** Whether the request is expected to miss its objective when its processing begins at [nowMs]. */
    fun isLate(nowMs: Long): Boolean = arrivedTooLate || completesLate(nowMs.toDouble())

    /** Records at arrival that the request is expected to begin after [waitMs]. */
    fun recordExpectedWait(waitMs: Double, nowMs: Long) {
        arrivedTooLate = completesLate(nowMs + waitMs * WORK_TIME_MARGIN)
    }

    private fun completesLate(beginMs: Double): Boolean = beginMs + workMs * WORK_TIME_MARGIN > rank.objectiveAtMs

    private companion object {
        // Safety factor on the usual processing time, for work that takes longer.
        const val WORK_TIME_MARGIN = 1.25
    }
}

/**
 * Sort key of a waiting request; a [late] one is not expected to meet its objective any more. [leadMs] is that of
 * [WaitingRequest.leadMs].
 */
internal data class WaitingSortKey(val rank: RequestRank, val late: Boolean, val leadMs: Double = 0.0) {
    /** The lead as far as it counts. Among teams that are about equal, the earliest objective has precedence. */
    val countedLeadMs: Double get() = if (leadMs <= EQUAL_LEAD_MS) 0.0 else leadMs
}

// In ms of work, about one request of a usual kind: teams whose leads differ by less are ordered by objective.
private const val EQUAL_LEAD_MS = 150.0

/**
 * Orders nested calls from other workers first, because refusing one wastes the work of its parent
 * request; then by higher priority, requests that can still meet their objective, requests of teams that were served
 * less, requests that were refused before, and the earliest objective.
 */
internal val waitingOrder: Comparator<WaitingSortKey> =
    compareBy<WaitingSortKey> { !it.rank.nested }
        .thenBy { it.rank.priority }
        .thenBy { it.late }
        .thenComparingDouble { it.countedLeadMs }
        .thenBy { !it.rank.repeated }
        .thenBy { it.rank.objectiveAtMs }

/**
 * Requests that wait for one worker, in the order of [waitingOrder]; ties are broken by order of arrival.
 *
 * Under overload, a FIFO queue grows until every request in it is answered late. Therefore a request
 * that arrives when the queue is too long is ordered behind those that can meet their objective, and so
 * is one that becomes late while it waits. A late request is refused while requests that are not late
 * are ordered before it, because it would probably be held until its timeout.
 *
 * Requests with a team are also ordered by [FairShares], have the floor of [PriorityShares], and are refused as soon as their
 * expected wait exceeds the time that they may wait ([overdue]). Without teams, none of this has an effect.
 *
 * A pure state machine: times are in ms. Not thread-safe.
 */
internal class WaitingQueue<W : WaitingRequest> {
    private val waiting = ArrayList<W>()
    private val shares = FairShares()
    private val priorities = PriorityShares()
    private var waitingWithTeam = 0
    private var servesTeams = false
    private var lastBegunMs = 0L

    val size: Int get() = waiting.size
    val isEmpty: Boolean get() = waiting.isEmpty()

    /** Whether a request with a team waits. */
    val hasTeams: Boolean get() = waitingWithTeam > 0

    fun add(request: W) {
        waiting.add(request)
        if (request.rank.team != null) waitingWithTeam++
    }

    fun remove(request: W) {
        if (waiting.remove(request) && request.rank.team != null) waitingWithTeam--
    }

    /** Returns the waiting requests in order of arrival. */
    fun all(): List<W> = waiting.toList()

    /** Records that a request of [rank] with [workMs] of expected work begins; it may still be among those that wait. */
    fun recordBegun(rank: RequestRank, workMs: Double, nowMs: Long) {
        val team = rank.team
        if (team != null) servesTeams = true
        if (!servesTeams) return
        if (waiting.isEmpty()) shares.recordCalm((nowMs - lastBegunMs).coerceAtLeast(0))
        lastBegunMs = nowMs
        val hasLead = team != null && shares.leadMs(team) > EQUAL_LEAD_MS
        priorities.recordBegun(rank.priority, chargedMs(workMs), hasLead, nowMs)
        if (team != null) shares.recordBegun(team, chargedMs(workMs), leastLeadMs(rank))
    }

    /** Whether to refuse [request]: it is late, and a request that is not late is ordered before it. */
    fun refuses(request: W, nowMs: Long): Boolean {
        if (!request.isLate(nowMs)) return false
        updateLeads(request, nowMs)
        val sortKey = request.sortKey(nowMs)
        return waiting.any { !it.isLate(nowMs) && waitingOrder.compare(it.sortKey(nowMs), sortKey) < 0 }
    }

    /** Returns the next request to admit of those that are [eligible], or null when there is none. */
    fun first(nowMs: Long, eligible: (W) -> Boolean = { true }): W? {
        if (hasTeams) updateLeads(null, nowMs)
        val first = waiting.filter(eligible).minWithOrNull(compareBy(waitingOrder) { it.sortKey(nowMs) }) ?: return null
        return if (hasTeams) firstWithFloor(first, nowMs, eligible) ?: first else first
    }

    /** Returns the last request in the order, or null when none waits. */
    fun last(nowMs: Long): W? {
        if (hasTeams) updateLeads(null, nowMs)
        return inOrder(nowMs).lastOrNull()
    }

    /** Whether [request], which does not wait, is ordered before [other], which does. */
    fun precedes(request: W, other: W, nowMs: Long): Boolean {
        updateLeads(request, nowMs)
        return waitingOrder.compare(request.sortKey(nowMs), other.sortKey(nowMs)) < 0
    }

    /** Returns the total expected processing time in ms of the requests ordered before [request]. */
    fun workAheadMs(request: W, nowMs: Long): Double {
        updateLeads(request, nowMs)
        val sortKey = request.sortKey(nowMs)
        return waiting.filter { waitingOrder.compare(it.sortKey(nowMs), sortKey) <= 0 }.sumOf { it.workMs }
    }

    /** Returns the time in ms until [request], which does not wait yet, is expected to begin on one of [slots]. */
    fun expectedWaitMs(request: W, slots: Int, nowMs: Long): Double {
        val aheadMs = workAheadMs(request, nowMs)
        if (request.rank.team == null) return (aheadMs + request.workMs / 2) / slots
        priorities.recordArrival(request.rank.priority)
        val samePriorityMs = waiting.filter { it.rank.priority == request.rank.priority }.sumOf { it.workMs }
        return expectedWaitMs(request, aheadMs, samePriorityMs, slots, nowMs)
    }

    /** Returns the waiting requests with a team that cannot begin on one of [slots] within the time that they may wait. */
    fun overdue(slots: Int, nowMs: Long): List<W> {
        if (!hasTeams) return emptyList()
        updateLeads(null, nowMs)
        val overdue = ArrayList<W>()
        val aheadMsByPriority = HashMap<Int, Double>()
        var aheadMs = 0.0
        for (request in inOrder(nowMs)) {
            val samePriorityMs = aheadMsByPriority[request.rank.priority] ?: 0.0
            val waitMs = expectedWaitMs(request, aheadMs, samePriorityMs, slots, nowMs)
            if (request.rank.team != null && request.workMs > 0 && nowMs + waitMs * OVERDUE_WAIT_FACTOR > request.waitsUntilMs) {
                overdue += request
                continue
            }
            aheadMs += request.workMs
            aheadMsByPriority[request.rank.priority] = samePriorityMs + request.workMs
        }
        return overdue
    }

    // More requests that go before it are expected to arrive meanwhile, as many as recently. The floor of its priority bounds the wait.
    private fun expectedWaitMs(request: W, aheadMs: Double, samePriorityMs: Double, slots: Int, nowMs: Long): Double {
        val priority = request.rank.priority
        val remainingShare = priorities.remainingShare(priority, request.leadMs > EQUAL_LEAD_MS, slots, nowMs)
        val waitMs = (aheadMs + request.workMs / 2) / (slots * remainingShare)
        val missingMs = (samePriorityMs + request.workMs - priorities.creditMs(priority)).coerceAtLeast(0.0)
        val floorWaitMs = (request.workMs / 2 + missingMs / PriorityShares.FLOOR_SHARE) / slots
        return minOf(waitMs, floorWaitMs)
    }

    private fun inOrder(nowMs: Long): List<W> = waiting.sortedWith(compareBy(waitingOrder) { it.sortKey(nowMs) })

    private fun firstWithFloor(first: W, nowMs: Long, eligible: (W) -> Boolean): W? {
        if (first.rank.nested) return null
        return waiting
            .filter { it.rank.team != null && it.rank.priority > first.rank.priority && !it.isLate(nowMs) && eligible(it) }
            .filter { priorities.creditMs(it.rank.priority) >= chargedMs(it.workMs) }
            .minWithOrNull(compareBy<W> { -priorities.creditMs(it.rank.priority) }.thenBy(waitingOrder) { it.sortKey(nowMs) })
    }

    // The virtual time of the teams follows those that compete with the request that begins.
    private fun leastLeadMs(rank: RequestRank): Double =
        waiting
            .filter { it.rank.nested == rank.nested && it.rank.priority == rank.priority }
            .mapNotNull { it.rank.team }
            .minOfOrNull(shares::leadMs) ?: Double.POSITIVE_INFINITY

    // A team's own requests follow one another: each has the lead that its team will have when those before it have begun.
    private fun updateLeads(newcomer: W?, nowMs: Long) {
        if (!hasTeams && newcomer?.rank?.team == null) return
        val all = if (newcomer == null || newcomer in waiting) waiting else waiting + newcomer
        all.forEach { it.leadMs = 0.0 }
        val ofTeams = all.filter { it.rank.team != null }.sortedWith(compareBy(waitingOrder) { it.sortKey(nowMs) })
        val aheadMs = HashMap<TeamName, Double>()
        ofTeams.forEach { request ->
            val team = checkNotNull(request.rank.team)
            val leadMs = aheadMs[team] ?: shares.leadMs(team)
            request.leadMs = leadMs
            aheadMs[team] = leadMs + chargedMs(request.workMs)
        }
    }

    private fun chargedMs(workMs: Double): Double = if (workMs > 0) workMs else UNKNOWN_WORK_MS

    private fun WaitingRequest.sortKey(nowMs: Long) = WaitingSortKey(rank, isLate(nowMs), leadMs)

    private companion object {
        // Factor on the expected wait: estimates are too high while a worker is temporarily slow, so only a clearly excessive wait is
        // refused.
        const val OVERDUE_WAIT_FACTOR = 0.6
    }
}
