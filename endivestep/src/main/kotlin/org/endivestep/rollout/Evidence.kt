package org.endivestep.rollout

import org.endivestep.identity.DaemonIncarnation
import org.endivestep.identity.KindName
import org.endivestep.identity.VmName
import org.endivestep.identity.WorkerVersion

/**
 * Outcomes of the requests of one route. [logMsSum] and [logMsSquareSum] sum the natural logarithm of the time in ms, and its square,
 * of the [timed] responses, which leave out those of a cold worker.
 */
internal data class RouteCounts(
    val answered: Long = 0,
    val failed: Long = 0,
    val timed: Long = 0,
    val logMsSum: Double = 0.0,
    val logMsSquareSum: Double = 0.0,
) {
    val total: Long get() = answered + failed
    val meanLogMs: Double get() = if (timed == 0L) 0.0 else logMsSum / timed

    operator fun plus(other: RouteCounts) =
        RouteCounts(
            answered + other.answered,
            failed + other.failed,
            timed + other.timed,
            logMsSum + other.logMsSum,
            logMsSquareSum + other.logMsSquareSum,
        )

    operator fun minus(other: RouteCounts) =
        RouteCounts(
            answered - other.answered,
            failed - other.failed,
            timed - other.timed,
            logMsSum - other.logMsSum,
            logMsSquareSum - other.logMsSquareSum,
        )
}

/** One run of the daemon beside a worker, whose counters are cumulative, and the version of that worker. */
internal data class EvidenceSource(val vm: VmName, val incarnation: DaemonIncarnation, val version: WorkerVersion?)

/**
 * Cumulative evidence of one worker since the roll-out began; [sequence] grows with each message of a daemon's run.
 *
 * [inFlight] is 0 only when the worker has no request and its daemon refuses new ones.
 */
internal class WorkerEvidence(val source: EvidenceSource, val sequence: Long, val inFlight: Int, val routes: Map<KindName, RouteCounts>) {
    val total: Long get() = routes.values.sumOf { it.total }
}
