package org.endivestep.admission

import org.endivestep.document.LimitSettings
import org.endivestep.exchange.RequestRank
import org.endivestep.outcome.Load
import org.endivestep.outcome.NotRunReason
import java.util.concurrent.TimeUnit
import java.util.concurrent.locks.Condition
import java.util.concurrent.locks.ReentrantLock
import kotlin.concurrent.withLock

/** Decision about one request that wants to run at this daemon's worker. */
internal sealed interface Admission {
    data class Admitted(val permit: AdmissionLimit.Permit) : Admission

    data class Refused(val reason: NotRunReason) : Admission
}

/** What a request asks of the queue; times are in ms of the queue's clock. */
internal class AdmissionRequest(
    /** Time that the request can wait, however short the queue is. */
    val patienceMs: Long,
    val occupancy: Occupancy = Occupancy.SHARED,
    val rank: RequestRank = RequestRank(),
    /** Time that the worker will probably take for it, 0 when unknown. */
    val workMs: Double = 0.0,
)

/** How much of the worker a request takes. */
internal enum class Occupancy {
    SHARED,

    /** Runs with no other request in flight at the worker, because it is suspected of crashing workers. */
    ALONE,
}

/**
 * Admits requests within an [AdmissionLimit] and lets a bounded number wait for a bounded time.
 *
 * Requests that wait are admitted in the order of [WaitingQueue]. Thread-safe; [admit] blocks its thread while it waits.
 */
internal class AdmissionQueue(private var settings: LimitSettings, private val clockMs: () -> Long) {
    private class Waiter(val request: AdmissionRequest, val admitted: Condition) : WaitingRequest(request.rank, request.workMs) {
        var admission: Admission? = null
    }

    private val limit = AdmissionLimit(settings)
    private val pace = ColdPace()
    private val waiting = WaitingQueue<Waiter>()
    private var runningAlone = false
    private var closedFor: NotRunReason? = null
    private var slownessPercent = 0
    private val lock = ReentrantLock()

    val load: Load
        get() =
            lock.withLock {
                val current = limit.load
                val taken = if (pace.delayMs(clockMs()) > 0) current.limit else current.inFlight
                current.copy(inFlight = taken, waiting = waiting.size, slownessPercent = slownessPercent)
            }

    /** Told after each change of the load; must not block. */
    @Volatile
    var onLoad: () -> Unit = { }

    /** Notes how long work takes at the worker now, in percent of the usual time. */
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

    /** The worker stays cold for [durationMs] and bears [perSecond] requests a second meanwhile. */
    fun coldFor(durationMs: Long, perSecond: Double) = lock.withLock { pace.cold(clockMs() + durationMs, perSecond) }

    /** Refuses every request from now on, those that wait included, for [reason]. */
    fun close(reason: NotRunReason) =
        lock.withLock {
            closedFor = reason
            while (true) decide(waiting.first(clockMs()) ?: break, Admission.Refused(reason))
        }

    fun open() = lock.withLock { closedFor = null }

    /** Admits or refuses [request]; one that would probably wait longer than it can is refused at once. */
    fun admit(request: AdmissionRequest): Admission {
        lock.withLock {
            closedFor?.let { return Admission.Refused(it) }
            if (waiting.isEmpty) tryAdmit(request.occupancy)?.let { return it }
            val nowMs = clockMs()
            val waiter = Waiter(request, lock.newCondition())
            val longestMs = minOf(request.patienceMs, settings.queueWaitMs)
            waiter.expectWait(expectedWaitMs(waiter, nowMs), nowMs)
            val isFull = longestMs <= 0 || waiting.size >= settings.queueLength
            if (isFull || waiting.refuses(waiter, nowMs) || expectedWaitMs(waiter, nowMs) > longestMs) {
                return Admission.Refused(NotRunReason.OVERLOADED)
            }
            return await(waiter, nowMs + longestMs)
        }
    }

    // Work that is not known is waited for.
    private fun expectedWaitMs(waiter: Waiter, nowMs: Long): Double {
        if (waiter.workMs <= 0.0) return 0.0
        val places = limit.load.limit.coerceAtLeast(1)
        val aheadMs = waiting.workAheadMs(waiter, nowMs)
        return maxOf((aheadMs + waiter.workMs / 2) / places, pace.delayMs(nowMs).toDouble())
    }

    /** Ends an admitted request. */
    fun release(permit: AdmissionLimit.Permit, completion: Completion) {
        lock.withLock {
            limit.release(permit, completion, clockMs())
            runningAlone = false
            admitWaiting()
        }
        onLoad()
    }

    private fun await(waiter: Waiter, untilMs: Long): Admission {
        waiting.add(waiter)
        try {
            while (waiter.admission == null) {
                val nowMs = clockMs()
                if (untilMs <= nowMs || waiting.refuses(waiter, nowMs)) break
                waiter.admitted.await(minOf(untilMs - nowMs, lateMs(waiter, nowMs), paceMs(nowMs)), TimeUnit.MILLISECONDS)
                if (waiter.admission == null) admitWaiting()
            }
            return waiter.admission ?: Admission.Refused(NotRunReason.QUEUE_TIMEOUT)
        } catch (e: InterruptedException) {
            giveBack(waiter.admission)
            throw e
        } finally {
            waiting.remove(waiter)
        }
    }

    // A request is looked at again when it becomes late.
    private fun lateMs(waiter: Waiter, nowMs: Long): Long = (waiter.becomesLateMs + 1 - nowMs).takeIf { it > 0 } ?: Long.MAX_VALUE

    // A request that only the pace holds back is admitted when the pace allows it, not at a release.
    private fun paceMs(nowMs: Long): Long = pace.delayMs(nowMs).takeIf { it > 0 } ?: Long.MAX_VALUE

    private fun giveBack(admission: Admission?) {
        if (admission is Admission.Admitted) release(admission.permit, Completion.Cancelled)
    }

    private fun admitWaiting() {
        while (true) {
            val next = waiting.first(clockMs()) ?: break
            decide(next, tryAdmit(next.request.occupancy) ?: break)
        }
    }

    private fun decide(waiter: Waiter, admission: Admission) {
        waiter.admission = admission
        waiting.remove(waiter)
        waiter.admitted.signal()
    }

    private fun tryAdmit(occupancy: Occupancy): Admission? {
        if (runningAlone) return null
        if (occupancy == Occupancy.ALONE && limit.load.inFlight > 0) return null
        val nowMs = clockMs()
        if (pace.delayMs(nowMs) > 0) return null
        val permit = limit.tryAcquire(nowMs) ?: return null
        pace.sent(nowMs)
        runningAlone = occupancy == Occupancy.ALONE
        onLoad()
        return Admission.Admitted(permit)
    }
}
