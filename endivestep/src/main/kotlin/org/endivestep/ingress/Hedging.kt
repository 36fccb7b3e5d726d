package org.endivestep.ingress

import io.github.oshai.kotlinlogging.KotlinLogging
import org.endivestep.exchange.RequestBody
import org.endivestep.exchange.monotonicMs
import org.endivestep.identity.KindName
import org.endivestep.identity.VmName
import org.endivestep.metrics.HedgeCounters
import org.endivestep.metrics.HedgeEvent
import org.endivestep.retry.HedgeDecision
import org.endivestep.retry.HedgeFacts
import org.endivestep.retry.HedgePolicy
import java.util.concurrent.Executor
import java.util.concurrent.Future
import java.util.concurrent.RejectedExecutionException
import java.util.concurrent.ScheduledExecutorService
import java.util.concurrent.TimeUnit

private val logger = KotlinLogging.logger {}

/** Returns the expected time in ms until the worker of a VM would respond to another request, null when it has no room for one. */
internal typealias SecondWorkerEstimate = (VmName, KindName) -> Double?

/** Sends second attempts of requests whose first attempt is slow, as [policy] decides. Thread-safe. */
internal class Hedging(
    private val policy: HedgePolicy,
    private val timer: ScheduledExecutorService,
    private val runners: Executor,
    private val counters: HedgeCounters,
    /** Whether second attempts may be sent at all; false when the daemon is stopping. */
    private val isAllowed: () -> Boolean,
    val secondMs: SecondWorkerEstimate,
) {
    /** Records a request; to be called once for each. */
    fun noteRequest(call: IncomingCall) = synchronized(policy) { policy.noteRequest(call.service.name) }

    /** Records that the first attempt of [call] responded after [elapsedMs]. */
    fun noteResponse(call: IncomingCall, elapsedMs: Long) =
        synchronized(policy) { policy.noteResponse(call.service.name, call.kind.name, elapsedMs) }

    /** Records that the first attempt of [call] had not responded after [elapsedMs]. */
    fun noteUnfinished(call: IncomingCall, elapsedMs: Long) =
        synchronized(policy) { policy.noteUnfinished(call.service.name, call.kind.name, elapsedMs) }

    /** Returns the time in ms after which a second attempt of [call] may be sent, or null when none may. */
    fun delayMs(call: IncomingCall): Long? {
        val mayRunTwice = call.kind.idempotent && call.body is RequestBody.Inline
        if (!mayRunTwice || call.kind.semantics.hasLargeAnswer || !isAllowed()) return null
        val delayMs = synchronized(policy) { policy.delayMs(call.service.name, call.kind.name) } ?: return null
        return delayMs.takeIf { it < call.deadline.remainingMs(monotonicMs()) }
    }

    /** Calls [start] after [delayMs], unless the result is cancelled before. */
    fun schedule(delayMs: Long, start: () -> Unit): Future<*> = timer.schedule({ startSafely(start) }, delayMs, TimeUnit.MILLISECONDS)

    /** Whether a second attempt to a worker that needs [secondMs] helps [call], whose first attempt began [elapsedMs] ago. */
    fun helps(call: IncomingCall, elapsedMs: Long, secondMs: Double): Boolean {
        val facts = HedgeFacts(elapsedMs, call.deadline.remainingMs(monotonicMs()), secondMs)
        return synchronized(policy) { policy.decide(call.service.name, call.kind.name, facts) } == HedgeDecision.SEND
    }

    /** Whether a second attempt of [call] may still be sent. */
    fun mayStart(call: IncomingCall): Boolean = isAllowed() && !call.cancellation.isCancelled

    /** Spends one second attempt of the share and, by [spendRetry], one retry; spends nothing of the share when that is refused. */
    fun trySpend(call: IncomingCall, spendRetry: () -> Boolean): Boolean =
        synchronized(policy) { policy.canSpend(call.service.name) && spendRetry() && policy.trySpend(call.service.name) }

    fun count(event: HedgeEvent) = counters.count(event)

    /** Runs [attempt] on another thread; returns false when none is free. */
    fun run(attempt: () -> Unit): Boolean =
        try {
            runners.execute(attempt)
            true
        } catch (e: RejectedExecutionException) {
            logger.debug { "no second attempt, no thread is free: $e" }
            false
        }

    @Suppress("TooGenericExceptionCaught") // The timer would drop the exception without a trace.
    private fun startSafely(start: () -> Unit) {
        try {
            start()
        } catch (e: RuntimeException) {
            logger.error(e) { "a second attempt could not be started" }
        }
    }
}
