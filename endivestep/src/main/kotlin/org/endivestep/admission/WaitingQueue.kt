package org.endivestep.admission

import org.endivestep.exchange.RequestRank

/**
 * A request that waits for a place at the worker; [workMs] is the time that its work will probably
 * take, 0 when it is not known.
 */
internal open class WaitingRequest(val rank: RequestRank, val workMs: Double) {
    /** When the request becomes late if its work has not begun. */
    val becomesLateMs: Long get() = (rank.objectiveAtMs - workMs * LONG_WORK).toLong()

    /** Whether the queue was already too long for an answer in time when the request arrived. */
    var arrivedTooLate = false
        private set

    /** Whether the request will probably not be answered in time when its work begins at [nowMs]. */
    fun isLate(nowMs: Long): Boolean = arrivedTooLate || endsLate(nowMs.toDouble())

    /** Notes that the request will begin only after [waitMs]. */
    fun expectWait(waitMs: Double, nowMs: Long) {
        arrivedTooLate = endsLate(nowMs + waitMs * LONG_WORK)
    }

    private fun endsLate(beginMs: Double): Boolean = beginMs + workMs * LONG_WORK > rank.objectiveAtMs

    private companion object {
        // Work that takes longer than usual, in parts of the usual time.
        const val LONG_WORK = 1.25
    }
}

/** What decides the order among waiting requests; [late] ones cannot be answered in time any more. */
internal data class WaitingPlace(val rank: RequestRank, val late: Boolean)

/**
 * Calls of other workers go first, because refusing one wastes the work of its parent; then the
 * higher priority, requests that can still be answered in time, those that were refused before, and
 * those whose objective ends first.
 */
internal val waitingOrder: Comparator<WaitingPlace> =
    compareBy<WaitingPlace> { !it.rank.nested }
        .thenBy { it.rank.priority }
        .thenBy { it.late }
        .thenBy { !it.rank.repeated }
        .thenBy { it.rank.objectiveAtMs }

/**
 * Requests that wait for one worker, in the order of [waitingOrder], equal ones in the order of arrival.
 *
 * In an overload, a queue in the order of arrival grows until every request in it is answered late. So a
 * request that finds the queue too long is ordered behind those that will be answered in time, and so
 * is one that becomes late while it waits. A late request is refused while such others wait, because it
 * would probably be held until its time-out.
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

    /** Whether [request] is late while others that are not are ordered before it. */
    fun refuses(request: W, nowMs: Long): Boolean {
        if (!request.isLate(nowMs)) return false
        val place = request.place(nowMs)
        return waiting.any { !it.isLate(nowMs) && waitingOrder.compare(it.place(nowMs), place) < 0 }
    }

    /** Returns the request that is to begin next, or null when none waits. */
    fun first(nowMs: Long): W? = waiting.minWithOrNull(compareBy(waitingOrder) { it.place(nowMs) })

    /** Returns the sum of the work in ms that is ordered before [request]. */
    fun workAheadMs(request: W, nowMs: Long): Double {
        val place = request.place(nowMs)
        return waiting.filter { waitingOrder.compare(it.place(nowMs), place) <= 0 }.sumOf { it.workMs }
    }

    private fun WaitingRequest.place(nowMs: Long) = WaitingPlace(rank, isLate(nowMs))
}
