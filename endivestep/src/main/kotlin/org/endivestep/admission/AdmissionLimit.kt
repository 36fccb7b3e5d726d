package org.endivestep.admission

import org.endivestep.document.LimitSettings
import org.endivestep.outcome.Load

/** How a request that held a permit ended at the worker. */
internal sealed interface Completion {
    /** Answered; [latencyMs] is the time to the first byte of the answer. */
    data class Answered(val latencyMs: Double) : Completion

    /** The worker refused the request. */
    data object Shed : Completion

    /** The worker failed, or gave no answer in time. */
    data object Failed : Completion

    /** The caller cancelled the request, which says nothing about the worker. */
    data object Cancelled : Completion
}

/**
 * Adaptive concurrency limit for one worker.
 *
 * A cold worker starts at [LimitSettings.cold]. During warm-up, the limit grows by a tenth after a
 * number of good answers; this number doubles with each collapse, because the warm-up speed of a
 * worker is not known. After warm-up, the limit grows by one for each window of good answers in which
 * it was in use. It shrinks on a shed request or when latency is well above the worker's own baseline.
 * Repeated failures within a window, or slow answers during warm-up, reset it to the cold limit (a collapse).
 *
 * A pure state machine: times are in ms of the caller's clock. Not thread-safe.
 */
internal class AdmissionLimit(private var settings: LimitSettings) {
    private var limit = settings.cold.toDouble()
    private var inFlight = 0
    private var epoch = 0L
    private var lastUseMs = 0L
    private var ramping = true
    private var answersPerStep = MIN_ANSWERS_PER_STEP
    private val window = LatencyWindow()

    val load: Load get() = Load(inFlight, limit.toInt())

    /**
     * Permission for one request in flight; the completion of a permit from an earlier epoch does not change the limit.
     * The slot of a request that [hasLargeAnswer] is taken until its answer was read.
     */
    data class Permit(val epoch: Long, val hasLargeAnswer: Boolean = false)

    fun configure(settings: LimitSettings) {
        this.settings = settings
        limit = limit.coerceIn(minOf(settings.cold, settings.max).toDouble(), settings.max.toDouble())
    }

    /** Takes a permit, or returns null when the limit is reached. */
    fun tryAcquire(nowMs: Long): Permit? {
        coolWhenIdle(nowMs)
        if (inFlight >= limit.toInt()) return null
        inFlight++
        lastUseMs = nowMs
        window.recordUse(inFlight >= (limit * IN_USE_SHARE).toInt())
        return Permit(epoch)
    }

    /** Releases [permit] and adapts the limit to [completion]. */
    fun release(permit: Permit, completion: Completion, nowMs: Long) {
        check(inFlight > 0) { "permit released twice: no request is in flight" }
        inFlight--
        lastUseMs = nowMs
        if (permit.epoch != epoch) return
        when (completion) {
            is Completion.Answered -> recordLatency(completion.latencyMs)
            Completion.Shed -> shrink(SHED_FACTOR)
            Completion.Failed -> recordFailure()
            Completion.Cancelled -> Unit
        }
    }

    /** Resets to the cold limit: after a new incarnation, the return of a data centre, an idle period or a collapse. */
    fun makeCold() {
        limit = settings.cold.toDouble()
        ramping = true
        epoch++
        window.reset()
    }

    private fun coolWhenIdle(nowMs: Long) {
        val idleMs = nowMs - lastUseMs
        if (inFlight == 0 && lastUseMs > 0 && settings.idleColdAfterMs in 1 until idleMs) {
            lastUseMs = nowMs
            makeCold()
        }
    }

    private fun recordLatency(latencyMs: Double) {
        window.add(latencyMs)
        val slow = window.isSlow(settings.latencyTolerance)
        if (slow) {
            if (ramping) collapse() else shrink(SLOW_FACTOR)
        } else if (window.count >= answersBeforeGrowth()) {
            if (window.wasInUse) grow()
            window.startNext()
        }
    }

    private fun grow() {
        val step = if (ramping) limit * RAMP_SHARE else 1.0
        limit = (limit + maxOf(1.0, step)).coerceAtMost(settings.max.toDouble())
        if (limit >= settings.max && ramping) {
            ramping = false
            answersPerStep = maxOf(MIN_ANSWERS_PER_STEP, answersPerStep / 2)
        }
    }

    private fun answersBeforeGrowth(): Int = if (ramping) answersPerStep else limit.toInt().coerceIn(MIN_WINDOW, MAX_WINDOW)

    private fun collapse() {
        answersPerStep = minOf(MAX_ANSWERS_PER_STEP, answersPerStep * 2)
        makeCold()
    }

    private fun shrink(factor: Double) {
        limit = (limit * factor).coerceAtLeast(settings.cold.toDouble())
        epoch++
        window.startNext()
    }

    private fun recordFailure() {
        window.failures++
        val bound = maxOf(MIN_FAILURES_TO_COLLAPSE, (limit * FAILURE_SHARE_TO_COLLAPSE).toInt())
        if (window.failures >= bound) collapse() else shrinkWithinWindow()
    }

    private fun shrinkWithinWindow() {
        limit = (limit * SHED_FACTOR).coerceAtLeast(settings.cold.toDouble())
    }

    private companion object {
        const val SHED_FACTOR = 0.7
        const val SLOW_FACTOR = 0.8
        const val RAMP_SHARE = 0.1
        const val MIN_ANSWERS_PER_STEP = 10
        const val MAX_ANSWERS_PER_STEP = 160
        const val MIN_WINDOW = 4
        const val MAX_WINDOW = 50
        const val IN_USE_SHARE = 0.5
        const val MIN_FAILURES_TO_COLLAPSE = 2
        const val FAILURE_SHARE_TO_COLLAPSE = 0.3
    }
}
