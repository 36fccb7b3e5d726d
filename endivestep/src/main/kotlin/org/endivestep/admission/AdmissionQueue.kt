package org.endivestep.admission

import org.endivestep.document.LimitSettings
import org.endivestep.exchange.RequestRank
import org.endivestep.outcome.Load
import org.endivestep.outcome.NotRunReason
import java.util.concurrent.TimeUnit
import java.util.concurrent.locks.Condition
import java.util.concurrent.locks.ReentrantLock
import kotlin.concurrent.withLock

/** Admission decision for one request to this daemon's worker. */
internal sealed interface Admission {
    data class Admitted(val permit: AdmissionLimit.Permit) : Admission

    data class Refused(val reason: NotRunReason) : Admission
}

/** Parameters of one request for admission; times are in ms of the queue's clock. */
internal class AdmissionRequest(
    /** Longest time that the request may wait, regardless of the queue's length. */
    val maxWaitMs: Long,
    /** Read whenever the request may be admitted, because it may change while the request waits. Called under the queue's lock. */
    val occupancy: () -> Occupancy = { Occupancy.SHARED },
    val rank: RequestRank = RequestRank(),
    /** Expected processing time at the worker, 0 when unknown. */
    val workMs: Double = 0.0,
    val hasLargeAnswer: Boolean = false,
    /** Returns the reason why the worker cannot run the request any more, or null. Called under the queue's lock. */
    val refusal: () -> NotRunReason? = { null },
)

/** Whether a request shares the worker with others. */
internal enum class Occupancy {
    SHARED,

    /** Runs with no other request in flight at the worker, because it is suspected of crashing workers. */
    ALONE,
}

/**
 * Admits requests within an [AdmissionLimit] and queues a bounded number of them for a bounded time.
 *
 * Queued requests are admitted in the order of [WaitingQueue]. Slow readers of large answers may take only a
 * share of the limit, so that other requests pass them. Thread-safe; [admit] blocks its thread while it waits.
 */
internal class AdmissionQueue(private var settings: LimitSettings, private val clockMs: () -> Long) {
    private class Waiter(val request: AdmissionRequest, val admitted: Condition) : WaitingRequest(request.rank, request.workMs) {
        var admission: Admission? = null
    }

    private val limit = AdmissionLimit(settings)
    private val coldRateLimiter = ColdRateLimiter(clockMs())
    private val waiting = WaitingQueue<Waiter>()
    private var exclusiveRunning = false
    private var largeAnswersRunning = 0
    private var closeReason: NotRunReason? = null
    private var slownessPercent = 0
    private val lock = ReentrantLock()

    val load: Load
        get() =
            lock.withLock {
                val current = limit.load
                val taken = if (coldRateLimiter.delayMs(clockMs()) > 0) current.limit else current.inFlight
                current.copy(inFlight = taken, waiting = waiting.size, slownessPercent = slownessPercent)
            }

    /** Listener that is called after each change of the load; must not block. */
    @Volatile
    var onLoad: () -> Unit = { }

    /** Records the current processing time at the worker, in percent of the usual time. */
    fun noteSlowness(percent: Int) {
        lock.withLock { slownessPercent = percent }
        onLoad()
    }

    fun configure(settings: LimitSettings) =
        lock.withLock {
            this.settings = settings
            limit.configure(settings)
        }

    fun makeCold() = lock.withLock { limit.makeCold() }

    /** Begins with a new run of the worker, of which only its configured limits are known. */
    fun workerStarted() =
        lock.withLock {
            limit.makeCold()
            slownessPercent = 0
        }

    /**
     * Treats the worker as cold for [durationMs], and again when [validMs] have passed without another call, and admits at most
     * [perSecond] requests per second while it is cold.
     */
    fun coldFor(durationMs: Long, perSecond: Double, validMs: Long = ALWAYS_VALID_MS) =
        lock.withLock {
            val nowMs = clockMs()
            coldRateLimiter.limitUntil(nowMs + durationMs, perSecond, unknownAfterMs = nowMs + validMs)
        }

    /** Refuses all queued and future requests with [reason], until [open] is called. */
    fun close(reason: NotRunReason) =
        lock.withLock {
            closeReason = reason
            while (true) resolve(waiting.first(clockMs()) ?: break, Admission.Refused(reason))
        }

    /** Refuses at once the waiting requests that the worker cannot run any more; to be called when the worker died. */
    fun refuseUnrunnable() =
        lock.withLock {
            waiting.all().forEach { waiter -> waiter.request.refusal()?.let { resolve(waiter, Admission.Refused(it)) } }
        }

    fun open() = lock.withLock { closeReason = null }

    /** Admits or refuses [request]; refuses it at once when its expected wait exceeds the longest time that it may wait. */
    fun admit(request: AdmissionRequest): Admission {
        lock.withLock {
            (closeReason ?: request.refusal())?.let { return Admission.Refused(it) }
            if (waiting.isEmpty || largeAnswersWait(request)) tryAdmit(request)?.let { return it }
            val nowMs = clockMs()
            val waiter = Waiter(request, lock.newCondition())
            val longestMs = minOf(request.maxWaitMs, settings.queueWaitMs)
            waiter.recordExpectedWait(expectedWaitMs(waiter, nowMs), nowMs)
            waiter.waitsUntilMs = nowMs + longestMs
            val beginsInTime = longestMs > 0 && !waiting.refuses(waiter, nowMs) && expectedWaitMs(waiter, nowMs) <= longestMs
            if (!beginsInTime || !makeRoom(waiter, nowMs)) return Admission.Refused(NotRunReason.OVERLOADED)
            return await(waiter)
        }
    }

    // In a full queue, the last request in the order is refused. Without teams, it is the newcomer.
    private fun makeRoom(newcomer: Waiter, nowMs: Long): Boolean {
        if (waiting.size < settings.queueLength) return true
        if (!waiting.hasTeams) return false
        val last = waiting.last(nowMs) ?: return false
        if (last.rank.team == null || !waiting.precedes(newcomer, last, nowMs)) return false
        resolve(last, Admission.Refused(NotRunReason.OVERLOADED))
        return true
    }

    // A request that goes before others makes them wait longer.
    private fun refuseOverdue(nowMs: Long) {
        if (!waiting.hasTeams) return
        waiting.overdue(slots(), nowMs).forEach { resolve(it, Admission.Refused(NotRunReason.OVERLOADED)) }
    }

    private fun slots(): Int = limit.load.limit.coerceAtLeast(1)

    // A request of unknown processing time is queued: no wait is estimated for it.
    private fun expectedWaitMs(waiter: Waiter, nowMs: Long): Double {
        if (waiter.workMs <= 0.0) return 0.0
        return maxOf(waiting.expectedWaitMs(waiter, slots(), nowMs), coldRateLimiter.delayMs(nowMs).toDouble())
    }

    /** Records the end of an admitted request. */
    fun release(permit: AdmissionLimit.Permit, completion: Completion) {
        lock.withLock {
            limit.release(permit, completion, clockMs())
            if (permit.hasLargeAnswer) largeAnswersRunning--
            exclusiveRunning = false
            admitWaiting()
        }
        onLoad()
    }

    private fun await(waiter: Waiter): Admission {
        val untilMs = waiter.waitsUntilMs
        waiting.add(waiter)
        refuseOverdue(clockMs())
        try {
            while (waiter.admission == null) {
                val nowMs = clockMs()
                if (untilMs <= nowMs || waiting.refuses(waiter, nowMs)) break
                waiter.admitted.await(minOf(untilMs - nowMs, msUntilLate(waiter, nowMs), msUntilRateAllows(nowMs)), TimeUnit.MILLISECONDS)
                if (waiter.admission == null) admitWaiting()
            }
            return waiter.admission ?: Admission.Refused(NotRunReason.QUEUE_TIMEOUT)
        } catch (e: InterruptedException) {
            releaseIfAdmitted(waiter.admission)
            throw e
        } finally {
            waiting.remove(waiter)
        }
    }

    // A waiting request is checked again when it becomes late.
    private fun msUntilLate(waiter: Waiter, nowMs: Long): Long = (waiter.lateAfterMs + 1 - nowMs).takeIf { it > 0 } ?: Long.MAX_VALUE

    // A request that only the rate limiter delays is admitted when the rate allows it, not at a release.
    private fun msUntilRateAllows(nowMs: Long): Long = coldRateLimiter.delayMs(nowMs).takeIf { it > 0 } ?: Long.MAX_VALUE

    private fun releaseIfAdmitted(admission: Admission?) {
        if (admission is Admission.Admitted) release(admission.permit, Completion.Cancelled)
    }

    private fun admitWaiting() {
        while (true) {
            val next = waiting.first(clockMs()) { hasShare(it.request) } ?: break
            resolve(next, tryAdmit(next.request) ?: break)
        }
    }

    private fun resolve(waiter: Waiter, admission: Admission) {
        waiter.admission = admission
        waiting.remove(waiter)
        waiter.admitted.signal()
    }

    // Requests whose large answers have no share left do not hold up [request].
    private fun largeAnswersWait(request: AdmissionRequest): Boolean =
        !request.hasLargeAnswer && waiting.first(clockMs()) { hasShare(it.request) } == null

    private fun hasShare(request: AdmissionRequest): Boolean =
        !request.hasLargeAnswer || largeAnswersRunning < (limit.load.limit * LARGE_ANSWER_SHARE).toInt().coerceAtLeast(1)

    private fun tryAdmit(request: AdmissionRequest): Admission? {
        if (exclusiveRunning || !hasShare(request)) return null
        val occupancy = request.occupancy()
        if (occupancy == Occupancy.ALONE && limit.load.inFlight > 0) return null
        val nowMs = clockMs()
        if (coldRateLimiter.delayMs(nowMs) > 0) return null
        val permit = limit.tryAcquire(nowMs)?.copy(hasLargeAnswer = request.hasLargeAnswer) ?: return null
        coldRateLimiter.recordSent(nowMs)
        waiting.recordBegun(request.rank, request.workMs, nowMs)
        exclusiveRunning = occupancy == Occupancy.ALONE
        if (request.hasLargeAnswer) largeAnswersRunning++
        onLoad()
        return Admission.Admitted(permit)
    }

    companion object {
        /** Time in ms, longer than any worker runs, for which a call of [coldFor] is valid that no other one follows. */
        const val ALWAYS_VALID_MS = Long.MAX_VALUE / 4

        /** Share of the limit that requests with large answers may take at the same time. */
        private const val LARGE_ANSWER_SHARE = 0.75
    }
}
