package org.endivestep.rollout

import org.endivestep.identity.KindName
import org.endivestep.identity.WorkerVersion
import kotlin.math.ln
import kotlin.math.max

/** How one request to the worker ended, as far as it tells about the worker's version. */
internal sealed interface VersionOutcome {
    class Answered(val elapsedMs: Double) : VersionOutcome

    data object Failed : VersionOutcome

    /** Says nothing about the version: not sent, refused by the worker, or cancelled. */
    data object None : VersionOutcome
}

/** A copy of the counters of one worker. */
internal class CountedEvidence(val version: WorkerVersion?, val inFlight: Int, val routes: Map<KindName, RouteCounts>)

/**
 * Counts the outcomes of the local worker's requests for the roll-out of its service. Requests in flight are always counted, the rest
 * only between [begin] and [stop]. Thread-safe.
 */
internal class EvidenceCounters(private val clockMs: () -> Long) {
    private class Running {
        val routes = HashMap<KindName, RouteCounts>()
    }

    private var target: WorkerVersion? = null
    private var version: WorkerVersion? = null
    private var coldUntilMs = Long.MIN_VALUE
    private var running: Running? = null
    private var inFlight = 0

    /** Begins to count for the roll-out to [target], unless it did so before. */
    @Synchronized
    fun begin(target: WorkerVersion) {
        if (running != null && this.target == target) return
        this.target = target
        running = Running()
    }

    @Synchronized
    fun stop() {
        running = null
    }

    /** Records that the local worker has [version] now and that a new run of it began, if [isNewRun]. */
    @Synchronized
    fun workerIs(version: WorkerVersion?, isNewRun: Boolean) {
        if (version != this.version && running != null) running = Running()
        this.version = version
        if (isNewRun) coldUntilMs = clockMs() + COLD_MS
    }

    @Synchronized
    fun started() {
        inFlight++
    }

    @Synchronized
    fun ended(route: KindName, outcome: VersionOutcome) {
        inFlight--
        val routes = running?.routes ?: return
        val before = routes[route] ?: RouteCounts()
        when (outcome) {
            is VersionOutcome.Answered -> routes[route] = before + answered(outcome.elapsedMs)
            VersionOutcome.Failed -> routes[route] = before.copy(failed = before.failed + 1)
            VersionOutcome.None -> Unit
        }
    }

    /** Returns the counters, or null when no roll-out is running. */
    @Synchronized
    fun read(): CountedEvidence? = running?.let { CountedEvidence(version, inFlight, HashMap(it.routes)) }

    private fun answered(elapsedMs: Double): RouteCounts {
        if (clockMs() < coldUntilMs) return RouteCounts(answered = 1)
        val log = ln(max(elapsedMs, MIN_MS))
        return RouteCounts(answered = 1, timed = 1, logMsSum = log, logMsSquareSum = log * log)
    }

    private companion object {
        // The platform's workers are slower than usual for this time after their start.
        const val COLD_MS = 3_000L
        const val MIN_MS = 0.1
    }
}
