package org.endivestep.choice

import org.endivestep.identity.DataCentreName
import org.endivestep.identity.KindName
import org.endivestep.identity.VmName
import org.endivestep.outcome.Load
import java.util.random.RandomGenerator

/** A worker that may be chosen. */
internal data class Candidate(val vm: VmName, val dataCentre: DataCentreName, val region: String)

/** Where the choosing daemon is. */
internal data class Locality(val dataCentre: DataCentreName, val region: String)

/** Chooses one of the candidates, which are never empty. */
internal typealias ChoicePolicy = (subject: ChoiceSubject, candidates: List<Candidate>) -> Candidate

/** What a worker is chosen for: a request of [kind] with a body of [bytes]. */
internal data class ChoiceSubject(val kind: KindName, val bytes: Long = 0)

/**
 * What one ingress daemon knows of the load of workers: its own requests in flight, and the load
 * that came back with earlier results, and the time that requests took. Both lose weight with age.
 *
 * A pure state machine: times are in ms. Not thread-safe.
 */
internal class LoadView(private val clockMs: () -> Long) : WorkerLoads {
    private class Entry {
        var own = 0
        var others = 0.0
        var limit = 0
        var reportedMs = 0L
        var avoidUntilMs = 0L
        var workerMs = 0.0
        var timedMs = 0L
    }

    private val entries = HashMap<VmName, Entry>()

    override fun begin(vm: VmName) {
        entry(vm).own++
    }

    override fun end(vm: VmName, kind: KindName, load: Load?, workerMs: Long?) {
        val entry = entry(vm)
        entry.own = (entry.own - 1).coerceAtLeast(0)
        if (load != null) report(entry, load)
        if (workerMs != null) time(entry, workerMs)
    }

    fun report(vm: VmName, load: Load) = report(entry(vm), load)

    override fun avoid(vm: VmName, durationMs: Long) {
        entry(vm).avoidUntilMs = clockMs() + durationMs
    }

    /** Estimated share of its limit that [vm] uses; above 1 it will probably refuse. */
    fun utilisation(vm: VmName): Double {
        val entry = entries[vm] ?: return 0.0
        val nowMs = clockMs()
        val penalty = if (nowMs < entry.avoidUntilMs) AVOIDED_UTILISATION else 0.0
        if (entry.limit == 0) return penalty + entry.own * UNKNOWN_SHARE
        val age = (nowMs - entry.reportedMs).toDouble() / REPORT_HALF_LIFE_MS
        val others = entry.others * Math.pow(0.5, age)
        return penalty + (entry.own + others) / entry.limit
    }

    /**
     * Cost of one more request at [vm], to be compared with that of other workers: the time that
     * requests take there, weighted by how full it is. A time loses weight with age, so that a slow
     * worker is tried again.
     */
    fun cost(vm: VmName): Double {
        val entry = entries[vm] ?: return 0.0
        val age = (clockMs() - entry.timedMs).toDouble() / TIME_HALF_LIFE_MS
        val workerMs = (entry.workerMs * Math.pow(0.5, age)).coerceAtLeast(MIN_WORKER_MS)
        return (IDLE_SHARE + utilisation(vm)) * workerMs
    }

    private fun time(entry: Entry, workerMs: Long) {
        val sample = workerMs.toDouble()
        entry.workerMs = if (entry.timedMs == 0L) sample else entry.workerMs + (sample - entry.workerMs) * TIME_WEIGHT
        entry.timedMs = clockMs()
    }

    private fun report(entry: Entry, load: Load) {
        entry.others = (load.inFlight - entry.own).coerceAtLeast(0).toDouble()
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
    }
}

/**
 * Returns a policy that takes the less costly of two random workers, in the nearest place that
 * still has room: the own data centre, then the own region, then anywhere.
 */
internal fun nearestTwoChoices(locality: Locality, random: RandomGenerator, loads: LoadView): ChoicePolicy =
    { _, candidates ->
        val rings = candidates.groupBy { distance(locality, it) }.toSortedMap().values
        val ring = rings.firstOrNull { ring -> ring.any { loads.utilisation(it.vm) < FULL } }
        if (ring == null) {
            candidates.minBy { loads.utilisation(it.vm) }
        } else {
            betterOfTwo(ring.filter { loads.utilisation(it.vm) < FULL }, random, loads)
        }
    }

private const val FULL = 1.0
private const val FAR = 2

private fun distance(from: Locality, candidate: Candidate): Int =
    when {
        candidate.dataCentre == from.dataCentre -> 0
        candidate.region == from.region -> 1
        else -> FAR
    }

private fun betterOfTwo(candidates: List<Candidate>, random: RandomGenerator, loads: LoadView): Candidate {
    val first = random.nextInt(candidates.size)
    if (candidates.size == 1) return candidates[first]
    val second = (first + 1 + random.nextInt(candidates.size - 1)) % candidates.size
    val better = if (loads.cost(candidates[second].vm) < loads.cost(candidates[first].vm)) second else first
    return candidates[better]
}
