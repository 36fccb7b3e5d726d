package org.endivestep.admission

import org.endivestep.exchange.RequestRank

/**
 * A request that waits for admission to the worker; [workMs] is its expected processing time, 0 when
 * unknown.
 */
internal open class WaitingRequest(val rank: RequestRank, val workMs: Double) {
    /** Time after which the request is late if its processing has not begun. */
    val lateAfterMs: Long get() = (rank.objectiveAtMs - workMs * WORK_TIME_MARGIN).toLong()

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

/** Sort key of a waiting request; a [late] one is not expected to meet its objective any more. */
internal data class WaitingSortKey(val rank: RequestRank, val late: Boolean)

/**
 * Orders nested calls from other workers first, because refusing one wastes the work of its parent
 * request; then by higher priority, requests that can still meet their objective, requests that were
 * refused before, and the earliest objective.
 */
internal val waitingOrder: Comparator<WaitingSortKey> =
    compareBy<WaitingSortKey> { !it.rank.nested }
        .thenBy { it.rank.priority }
        .thenBy { it.late }
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
 * A pure state machine: times are in ms. Not thread-safe.
 */
internal class WaitingQueue<W : WaitingRequest> {
    private val waiting = ArrayList<W>()

    val size: Int get() = waiting.size
    val isEmpty: Boolean get() = waiting.isEmpty()

    fun add(request: W) {
        waiting.add(request)
    }

    fun remove(request: W) {
        waiting.remove(request)
    }

    /** Returns the waiting requests in order of arrival. */
    fun all(): List<W> = waiting.toList()

    /** Whether to refuse [request]: it is late, and a request that is not late is ordered before it. */
    fun refuses(request: W, nowMs: Long): Boolean {
        if (!request.isLate(nowMs)) return false
        val sortKey = request.sortKey(nowMs)
        return waiting.any { !it.isLate(nowMs) && waitingOrder.compare(it.sortKey(nowMs), sortKey) < 0 }
    }

    /** Returns the next request to admit of those that are [eligible], or null when there is none. */
    fun first(nowMs: Long, eligible: (W) -> Boolean = { true }): W? =
        waiting.filter(eligible).minWithOrNull(compareBy(waitingOrder) { it.sortKey(nowMs) })

    /** Returns the total expected processing time in ms of the requests ordered before [request]. */
    fun workAheadMs(request: W, nowMs: Long): Double {
        val sortKey = request.sortKey(nowMs)
        return waiting.filter { waitingOrder.compare(it.sortKey(nowMs), sortKey) <= 0 }.sumOf { it.workMs }
    }

    private fun WaitingRequest.sortKey(nowMs: Long) = WaitingSortKey(rank, isLate(nowMs))
}
