package org.endivestep.rollout

import kotlin.math.exp
import kotlin.math.ln
import kotlin.math.max
import kotlin.math.min
import kotlin.math.sqrt

/** Result of comparing the target version with the others on one route, the least bad first. */
internal enum class VersionComparison { NOTHING_BAD, SUSPICIOUS, LIKELY_BAD, FAILING, SLOW }

/**
 * Compares the counters of the target version, one for each of its workers, with [old], those of all other workers.
 *
 * [loadRatio] is the load of a worker of the target version relative to that of another worker before the roll-out. A verdict must
 * also be supported by the rest of the workers when the worst one is left out, because one slow or ended VM says nothing of a version.
 */
internal fun compareVersions(targets: List<RouteCounts>, old: RouteCounts, loadRatio: Double): VersionComparison {
    val used = targets.filter { it.total > 0 }
    if (used.isEmpty()) return VersionComparison.NOTHING_BAD
    val failing = failureComparison(used, old)
    if (failing == VersionComparison.FAILING) return failing
    val slow = slownessComparison(used.filter { it.timed > 0 }, old, loadRatio)
    return maxOf(slow, failing)
}

/** Compares only the failures, as [compareVersions] does; for counters of all routes together, whose times differ. */
internal fun failureComparison(targets: List<RouteCounts>, old: RouteCounts): VersionComparison {
    if (targets.isEmpty()) return VersionComparison.NOTHING_BAD
    val all = targets.sum()
    val evidence = logFailureRatio(all, old)
    val rest = targets.withoutWorst { it.failed.toDouble() }
    val supported = rest == null || logFailureRatio(rest, old) >= SUPPORTING_LOG_RATIO
    return when {
        evidence >= DECIDING_LOG_RATIO && all.failed >= MIN_FAILURES && supported -> VersionComparison.FAILING
        evidence >= LIKELY_LOG_RATIO && all.failed >= MIN_LIKELY_FAILURES && supported -> VersionComparison.LIKELY_BAD
        evidence >= SUPPORTING_LOG_RATIO -> VersionComparison.SUSPICIOUS
        else -> VersionComparison.NOTHING_BAD
    }
}

/**
 * Logarithm of the likelihood of the failures of [target] under rates above that of [old], averaged over several rates, relative to
 * their likelihood under the rate of [old].
 */
internal fun logFailureRatio(target: RouteCounts, old: RouteCounts): Double {
    val base = usualFailureRate(old)
    val failed = target.failed.toDouble()
    val answered = target.answered.toDouble()
    val logs =
        excessRates.map { excess ->
            val rate = min(base + excess, MAX_FAILURE_RATE)
            failed * ln(rate / base) + answered * ln((1 - rate) / (1 - base))
        }
    val greatest = logs.max()
    return greatest + ln(logs.sumOf { exp(it - greatest) } / logs.size)
}

// One standard error above the estimate, so that few responses of the old version do not make the new one look bad.
private fun usualFailureRate(old: RouteCounts): Double {
    val weight = old.total + PRIOR_RESPONSES
    val rate = (old.failed + 1) / weight
    return (rate + sqrt(rate / weight)).coerceIn(MIN_FAILURE_RATE, MAX_USUAL_FAILURE_RATE)
}

private fun slownessComparison(targets: List<RouteCounts>, old: RouteCounts, loadRatio: Double): VersionComparison {
    val all = targets.sum()
    if (all.timed < MIN_TIMED || old.timed < MIN_TIMED) return VersionComparison.NOTHING_BAD
    val threshold = ln(SLOW_FACTOR) + ln(loadRatio.coerceIn(1.0, MAX_LOAD_RATIO))
    val excess = all.meanLogMs - old.meanLogMs - threshold
    val error = sqrt(all.variance() / all.timed + old.variance() / old.timed)
    val rest = targets.withoutWorst { it.meanLogMs }
    val supported = rest == null || rest.timed > 0 && rest.meanLogMs - old.meanLogMs >= threshold
    return when {
        excess >= DECIDING_STANDARD_ERRORS * error && supported -> VersionComparison.SLOW
        excess >= 0 && supported -> VersionComparison.LIKELY_BAD
        excess >= 0 -> VersionComparison.SUSPICIOUS
        else -> VersionComparison.NOTHING_BAD
    }
}

private fun RouteCounts.variance(): Double = max(MIN_LOG_VARIANCE, logMsSquareSum / timed - meanLogMs * meanLogMs)

private fun List<RouteCounts>.sum(): RouteCounts = fold(RouteCounts(), RouteCounts::plus)

private fun List<RouteCounts>.withoutWorst(badness: (RouteCounts) -> Double): RouteCounts? {
    if (size < 2) return null
    return sum() - maxBy(badness)
}

// Rate of false verdicts that the likelihood ratio allows for one route and period: 1 of 2,000.
private val DECIDING_LOG_RATIO = ln(2_000.0)
private val LIKELY_LOG_RATIO = ln(100.0)
private val SUPPORTING_LOG_RATIO = ln(20.0)
private val excessRates = listOf(0.05, 0.1, 0.2, 0.4, 0.8)
private const val MIN_FAILURES = 4
private const val MIN_LIKELY_FAILURES = 3
private const val MIN_FAILURE_RATE = 0.01
private const val MAX_USUAL_FAILURE_RATE = 0.5
private const val MAX_FAILURE_RATE = 0.99
private const val PRIOR_RESPONSES = 10.0

// A version that is several times slower exceeds this factor clearly, and the load of a worker that is nearly full does not.
private const val SLOW_FACTOR = 1.6
private const val MAX_LOAD_RATIO = 2.0
private const val MIN_TIMED = 8L
private const val MIN_LOG_VARIANCE = 0.05

// They count from the threshold, which already lies several standard errors above an equally fast version.
private const val DECIDING_STANDARD_ERRORS = 2.5
