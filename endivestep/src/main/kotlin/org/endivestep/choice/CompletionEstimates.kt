package org.endivestep.choice

import org.endivestep.identity.KindName
import org.endivestep.identity.VmName
import org.endivestep.outcome.Load
import kotlin.random.Random

/**
 * Estimates when each worker would complete a request, from the load that workers' daemons report and
 * the requests that this daemon has sent since the report.
 *
 * A worker that takes longer than its reported slowness explains gets a correction factor, which decays
 * to 1 without new samples. A pure state machine: times are in ms. Not thread-safe.
 */
internal class CompletionEstimates(private val profiles: KindProfiles, private val clockMs: () -> Long) : WorkerLoads {
    private class Entry {
        var ownInFlight = 0
        var ownInFlightAtReport = 0
        var load: Load? = null
        var reportedMs = 0L
        var factor = 1.0
        var factorMs = 0L
        var avoidUntilMs = 0L
    }

    private val entries = HashMap<VmName, Entry>()

    override fun begin(vm: VmName) {
        entry(vm).ownInFlight++
    }

    override fun end(vm: VmName, kind: KindName, load: Load?, workerMs: Long?) {
        val entry = entry(vm)
        entry.ownInFlight = (entry.ownInFlight - 1).coerceAtLeast(0)
        if (workerMs != null) {
            updateFactor(entry, kind, workerMs)
            profiles.observed(kind, workerMs.toDouble())
        }
        if (load != null) report(vm, load)
    }

    override fun avoid(vm: VmName, durationMs: Long) {
        entry(vm).avoidUntilMs = clockMs() + durationMs
    }

    /** Records the load that the daemon at [vm] reports for its worker. */
    fun report(vm: VmName, load: Load) {
        val entry = entry(vm)
        entry.load = load
        entry.reportedMs = clockMs()
        entry.ownInFlightAtReport = entry.ownInFlight
    }

    /** Returns the usual length in bytes of an answer of [kind]. */
    fun usualAnswerBytes(kind: KindName): Double = profiles.usualBytes(kind)

    /** Returns the time in ms until [vm] would have completed a request of [kind] that is sent now. */
    fun expectedMs(vm: VmName, kind: KindName): Double {
        val usualMs = profiles.usualMs(kind)
        val entry = entries[vm] ?: return completionMs(usualMs, 0)
        val nowMs = clockMs()
        val avoidedMs = if (nowMs < entry.avoidUntilMs) AVOIDED_MS else 0.0
        val load = entry.load ?: return avoidedMs + completionMs(usualMs * factor(entry, nowMs), 0) + entry.ownInFlight
        val slowness = if (nowMs - entry.reportedMs > STALE_AFTER_MS) 0 else load.slownessPercent
        val workMs = completionMs(usualMs * factor(entry, nowMs), slowness)
        val occupied = occupiedSlots(load, nowMs - entry.reportedMs) + (entry.ownInFlight - entry.ownInFlightAtReport).coerceAtLeast(0)
        return avoidedMs + workMs + queueMs(load, occupied, workMs)
    }

    /**
     * Returns the time in ms that [vm] would take for a second attempt of a request of [kind], or null when it is not known to have room:
     * by its last report, which must be recent, at most [MAX_SECOND_SHARE] of its slots are taken with the attempt. The last slots
     * of a worker are for first attempts.
     */
    fun secondAttemptMs(vm: VmName, kind: KindName): Double? {
        val entry = entries[vm] ?: return null
        val load = entry.load ?: return null
        val nowMs = clockMs()
        if (nowMs - entry.reportedMs > STALE_AFTER_MS || nowMs < entry.avoidUntilMs || load.waiting > 0) return null
        val taken = load.inFlight + (entry.ownInFlight - entry.ownInFlightAtReport).coerceAtLeast(0) + 1
        if (taken > load.limit * MAX_SECOND_SHARE) return null
        return completionMs(profiles.usualMs(kind) * factor(entry, nowMs), load.slownessPercent)
    }

    // The reported load decays with age, so that a worker without new reports is tried again; a refusal then reports its load.
    private fun occupiedSlots(load: Load, ageMs: Long): Double =
        (load.inFlight + load.waiting) * Math.pow(0.5, ageMs.toDouble() / LOAD_HALF_LIFE_MS)

    // The fuller a worker was at its last report, the more likely it has filled up since.
    private fun queueMs(load: Load, occupied: Double, workMs: Double): Double {
        val slots = load.limit.coerceAtLeast(1)
        if (occupied < slots) return FULLNESS_MS * occupied / slots
        return FULLNESS_MS + waitMs((occupied - slots).toInt(), slots, workMs)
    }

    private fun updateFactor(entry: Entry, kind: KindName, workerMs: Long) {
        val usualMs = profiles.usualMs(kind)
        val sample = (workerMs / usualMs.coerceAtLeast(1.0)).coerceIn(1.0, MAX_FACTOR)
        val nowMs = clockMs()
        entry.factor = factor(entry, nowMs) + (sample - factor(entry, nowMs)) * FACTOR_WEIGHT
        entry.factorMs = nowMs
    }

    private fun factor(entry: Entry, nowMs: Long): Double {
        val age = (nowMs - entry.factorMs).toDouble() / FACTOR_HALF_LIFE_MS
        return 1.0 + (entry.factor - 1.0) * Math.pow(0.5, age)
    }

    private fun entry(vm: VmName): Entry = entries.getOrPut(vm) { Entry() }

    private companion object {
        const val STALE_AFTER_MS = 1_500L
        const val AVOIDED_MS = 1_000.0
        const val FULLNESS_MS = 40.0
        const val LOAD_HALF_LIFE_MS = 400.0
        const val FACTOR_WEIGHT = 0.15
        const val FACTOR_HALF_LIFE_MS = 2_000.0
        const val MAX_FACTOR = 20.0
        const val MAX_SECOND_SHARE = 0.75
    }
}

/**
 * Returns a policy that chooses the worker with the earliest expected completion; a worker in another
 * data centre must be faster by more than the cost of its distance. [random] breaks ties.
 *
 * At most [maxCompared] random workers are compared, of which at most [MAX_NEAR] are in the own data centre: daemons that all compare
 * many workers by the same reports would all choose the same one.
 */
internal fun earliestCompletion(
    locality: Locality,
    estimates: CompletionEstimates,
    random: Random = Random.Default,
    maxCompared: Int = Int.MAX_VALUE,
): ChoicePolicy =
    { request, candidates ->
        val kilobytes = (request.bytes + estimates.usualAnswerBytes(request.kind)) / BYTES_PER_KILOBYTE
        compared(candidates.shuffled(random), locality, maxCompared).minBy {
            estimates.expectedMs(it.vm, request.kind) + distanceMs(locality, it, kilobytes, request.objectiveMs)
        }
    }

private fun compared(shuffled: List<Candidate>, locality: Locality, max: Int): List<Candidate> {
    if (shuffled.size <= max) return shuffled
    val near = shuffled.filter { it.dataCentre == locality.dataCentre }.take(MAX_NEAR)
    return near + shuffled.asSequence().filter { it.dataCentre != locality.dataCentre }.take(max - near.size)
}

// Leaves room among those compared for workers elsewhere, so that work can leave a data centre that is full.
private const val MAX_NEAR = 6

private const val BYTES_PER_KILOBYTE = 1_024.0

// Traffic between data centres is charged by the byte. The same bytes are worth more time to a request that has more time until
// its answer is late: a kilobyte is worth a fortieth of its objective, and at least 12 ms.
private const val OBJECTIVE_PER_KILOBYTE = 1.0 / 40
private const val MIN_COST_MS_PER_KILOBYTE = 12.0

// The heads of a request and its answer are about one kilobyte together.
private const val HEAD_KILOBYTES = 1.0
private const val OTHER_REGION_MS = 1_000.0

private fun distanceMs(from: Locality, candidate: Candidate, kilobytes: Double, objectiveMs: Long): Double =
    when {
        candidate.dataCentre == from.dataCentre -> 0.0
        candidate.region == from.region -> (kilobytes + HEAD_KILOBYTES) *
            maxOf(objectiveMs * OBJECTIVE_PER_KILOBYTE, MIN_COST_MS_PER_KILOBYTE)
        else -> OTHER_REGION_MS
    }
