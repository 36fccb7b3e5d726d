package org.endivestep.choice

import org.endivestep.identity.DataCentreName
import org.endivestep.identity.KindName
import org.endivestep.identity.VmName
import org.endivestep.outcome.Load
import java.util.random.RandomGenerator

/** A worker that is eligible for a request. */
internal data class Candidate(val vm: VmName, val dataCentre: DataCentreName, val region: String)

/** Location of the daemon that chooses. */
internal data class Locality(val dataCentre: DataCentreName, val region: String)

/** Chooses one of the candidates; the list is never empty. */
internal typealias ChoicePolicy = (request: RequestTraits, candidates: List<Candidate>) -> Candidate

/**
 * Properties of a request that a choice depends on: its [kind], the size of its body in [bytes], and the time in ms
 * within which it should be answered.
 */
internal data class RequestTraits(val kind: KindName, val bytes: Long = 0, val objectiveMs: Long = USUAL_OBJECTIVE_MS)

private const val USUAL_OBJECTIVE_MS = 500L

/**
 * One ingress daemon's view of the load of workers: its own requests in flight, the load reported
 * with earlier results, and the time that requests took. The latter two lose weight with age.
 *
 * A pure state machine: times are in ms. Not thread-safe.
 */
internal class LoadView(private val clockMs: () -> Long) : WorkerLoads {
    private class Entry {
        var ownInFlight = 0
        var othersInFlight = 0.0
        var limit = 0
        var reportedMs = 0L
        var avoidUntilMs = 0L
        var workerMs = 0.0
        var timeRecordedMs = 0L
    }

    private val entries = HashMap<VmName, Entry>()

    override fun begin(vm: VmName) {
        entry(vm).ownInFlight++
    }

    override fun end(vm: VmName, kind: KindName, load: Load?, workerMs: Long?) {
        val entry = entry(vm)
        entry.ownInFlight = (entry.ownInFlight - 1).coerceAtLeast(0)
        if (load != null) report(entry, load)
        if (workerMs != null) recordTime(entry, workerMs)
    }

    fun report(vm: VmName, load: Load) = report(entry(vm), load)

    override fun avoid(vm: VmName, durationMs: Long) {
        entry(vm).avoidUntilMs = clockMs() + durationMs
    }

    /** Estimated share of its limit that [vm] uses; above 1 it is expected to refuse requests. */
    fun utilisation(vm: VmName): Double {
        val entry = entries[vm] ?: return 0.0
        val nowMs = clockMs()
        val penalty = if (nowMs < entry.avoidUntilMs) AVOIDED_UTILISATION else 0.0
        if (entry.limit == 0) return penalty + entry.ownInFlight * UNKNOWN_SHARE
        val age = (nowMs - entry.reportedMs).toDouble() / REPORT_HALF_LIFE_MS
        val others = entry.othersInFlight * Math.pow(0.5, age)
        return penalty + (entry.ownInFlight + others) / entry.limit
    }

    /**
     * Relative cost of one more request at [vm]: the time that requests take there, weighted by its
     * utilisation. The time decays with age, so that a slow worker is tried again.
     */
    fun cost(vm: VmName): Double {
        val entry = entries[vm] ?: return 0.0
        val age = (clockMs() - entry.timeRecordedMs).toDouble() / TIME_HALF_LIFE_MS
        val workerMs = (entry.workerMs * Math.pow(0.5, age)).coerceAtLeast(MIN_WORKER_MS)
        return (IDLE_SHARE + utilisation(vm)) * workerMs
    }

    /**
     * Returns the time in ms that requests take at [vm], or null when the worker is not known to have room for a second attempt of a
     * request: by its last report, at most [MAX_SECOND_SHARE] of its limit is taken with the attempt.
     */
    fun secondAttemptMs(vm: VmName): Double? {
        val entry = entries[vm] ?: return null
        val isKnown = entry.limit > 0 && entry.timeRecordedMs != 0L && clockMs() - entry.reportedMs <= RECENT_MS
        if (!isKnown || utilisation(vm) + 1.0 / entry.limit > MAX_SECOND_SHARE) return null
        return entry.workerMs.coerceAtLeast(MIN_WORKER_MS)
    }

    private fun recordTime(entry: Entry, workerMs: Long) {
        val sample = workerMs.toDouble()
        entry.workerMs = if (entry.timeRecordedMs == 0L) sample else entry.workerMs + (sample - entry.workerMs) * TIME_WEIGHT
        entry.timeRecordedMs = clockMs()
    }

    private fun report(entry: Entry, load: Load) {
        entry.othersInFlight = (load.inFlight - entry.ownInFlight).coerceAtLeast(0).toDouble()
        entry.limit = load.limit.coerceAtLeast(1)
        entry.reportedMs = clockMs()
    }

    private fun entry(vm: VmName): Entry = entries.getOrPut(vm) { Entry() }

    private companion object {
        const val REPORT_HALF_LIFE_MS = 200.0
        const val UNKNOWN_SHARE = 0.01
        const val AVOIDED_UTILISATION = 10.0
        const val TIME_HALF_LIFE_MS = 5_000.0
        const val TIME_WEIGHT = 0.3
        const val MIN_WORKER_MS = 1.0
        const val IDLE_SHARE = 0.05
        const val RECENT_MS = 1_500L
        const val MAX_SECOND_SHARE = 0.75
    }
}

/**
 * Returns a policy that chooses the less costly of two random workers in the nearest tier with free
 * capacity: the local data centre, then the local region, then anywhere.
 */
internal fun nearestTwoChoices(locality: Locality, random: RandomGenerator, loads: LoadView): ChoicePolicy =
    { _, candidates ->
        val tiers = candidates.groupBy { distance(locality, it) }.toSortedMap().values
        val tier = tiers.firstOrNull { tier -> tier.any { loads.utilisation(it.vm) < FULL } }
        if (tier == null) {
            candidates.minBy { loads.utilisation(it.vm) }
        } else {
            betterOfTwo(tier.filter { loads.utilisation(it.vm) < FULL }, random, loads)
        }
    }

private const val FULL = 1.0
private const val OTHER_REGION_DISTANCE = 2

private fun distance(from: Locality, candidate: Candidate): Int =
    when {
        candidate.dataCentre == from.dataCentre -> 0
        candidate.region == from.region -> 1
        else -> OTHER_REGION_DISTANCE
    }

private fun betterOfTwo(candidates: List<Candidate>, random: RandomGenerator, loads: LoadView): Candidate {
    val first = random.nextInt(candidates.size)
    if (candidates.size == 1) return candidates[first]
    val second = (first + 1 + random.nextInt(candidates.size - 1)) % candidates.size
    val better = if (loads.cost(candidates[second].vm) < loads.cost(candidates[first].vm)) second else first
    return candidates[better]
}
