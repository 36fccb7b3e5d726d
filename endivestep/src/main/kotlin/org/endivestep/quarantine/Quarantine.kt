package org.endivestep.quarantine

import org.endivestep.document.QuarantineSettings
import org.endivestep.identity.Fingerprint
import org.endivestep.identity.WorkerRunId

/** How strongly a request is suspected of crashing workers. */
internal enum class SuspicionLevel {
    CLEAR,

    /** In flight at one worker death, together with other requests. */
    SUSPECT,

    /** The only suspect in flight at a worker death: runs alone, so that another crash affects no other request. */
    LONE_SUSPECT,

    /** In flight at several worker deaths: refused. */
    QUARANTINED,
}

/** Entry that daemons exchange about one request: the workers that died while it was in flight. */
internal data class SuspicionEntry(val fingerprint: Fingerprint, val deaths: Set<WorkerRunId>, val remainingMs: Long, val lone: Boolean)

/**
 * Detects requests that crash every worker that runs them.
 *
 * A request in flight when a worker dies is a suspect. If it was answered within the last [ANSWERED_RETENTION_MS],
 * it is suspected only when the other requests in flight do not explain the death: when there were none, or when it
 * dies a second time without an answer in between. A suspect that is answered is cleared. A request that was in
 * flight at [QuarantineSettings.deaths] worker deaths is refused until the entry expires. Requests that differ only
 * in their origin are suspected separately, until workers have died of several of them.
 *
 * A pure state machine: times are in ms; [onChange] is told of each change of an entry. Not thread-safe.
 */
internal class Quarantine(
    private var settings: QuarantineSettings,
    private val onChange: (SuspicionChange) -> Unit = { },
    private val clockMs: () -> Long,
) {
    private val entries: SuspicionTable = SuspicionTable(MAX_ENTRIES, clockMs) { fingerprint, cause -> report(fingerprint, cause) }
    private val answeredMs = LinkedHashMap<Fingerprint, Long>()

    // Deaths since the last answer at which a recently answered request was in flight and not suspected.
    private val exemptDeaths = HashMap<Fingerprint, Set<WorkerRunId>>()

    val quarantinedCount: Int get() = entries.fingerprints().count { suspicionLevel(it) == SuspicionLevel.QUARANTINED }

    fun configure(settings: QuarantineSettings) {
        this.settings = settings
    }

    fun suspicionLevel(fingerprint: Fingerprint): SuspicionLevel {
        if (entries.isEmpty) return SuspicionLevel.CLEAR
        val entry = entries[fingerprint]
        return when {
            entry != null && entry.deaths.size >= settings.deaths -> SuspicionLevel.QUARANTINED
            crashesWhateverItsOrigin(fingerprint) -> SuspicionLevel.QUARANTINED
            entry == null -> SuspicionLevel.CLEAR
            entry.lone -> SuspicionLevel.LONE_SUSPECT
            else -> SuspicionLevel.SUSPECT
        }
    }

    /** Records that [worker] died with [inFlight] in flight; returns the entries to send to other daemons. */
    fun workerDied(worker: WorkerRunId, inFlight: Collection<Fingerprint>): List<SuspicionEntry> {
        val (answered, others) = inFlight.toSet().partition(::answeredRecently)
        // If all of them were answered recently, one of them crashed the worker all the same.
        val suspects = others.ifEmpty { answered }
        suspects.forEach { suspect(it, setOf(worker), lone = suspects.size == 1) }
        val unexplained = others.isNotEmpty() && suspects.none { suspicionLevel(it) == SuspicionLevel.QUARANTINED }
        val repeated = if (unexplained) answered.filter { !exempt(it, worker) } else emptyList()
        repeated.forEach { suspect(it, exemptDeaths.remove(it).orEmpty() + worker, lone = false) }
        return (suspects + repeated).mapNotNull(::suspicion)
    }

    private fun suspect(fingerprint: Fingerprint, deaths: Set<WorkerRunId>, lone: Boolean) {
        add(SuspicionEntry(fingerprint, deaths, settings.durationMs, lone))
        report(fingerprint, SuspicionCause.IN_FLIGHT_AT_DEATH)
    }

    // An answer exempts a request from one death only; returns false if it was exempted from another since its last answer.
    private fun exempt(fingerprint: Fingerprint, worker: WorkerRunId): Boolean {
        if (exemptDeaths[fingerprint].orEmpty().any { it != worker }) return false
        exemptDeaths[fingerprint] = setOf(worker)
        report(fingerprint, SuspicionCause.ANSWERED_RECENTLY)
        return true
    }

    /** Records that a worker answered a request, which clears it as a suspect unless it is quarantined. */
    fun answered(fingerprint: Fingerprint) {
        answeredMs.remove(fingerprint)
        exemptDeaths.remove(fingerprint)
        answeredMs[fingerprint] = clockMs()
        if (answeredMs.size > MAX_ENTRIES) forgetAnswer(answeredMs.keys.first())
        if (suspicionLevel(fingerprint) == SuspicionLevel.QUARANTINED) return
        if (entries.remove(fingerprint)) report(fingerprint, SuspicionCause.ANSWERED)
    }

    /** Merges an entry received from another daemon; returns whether it contained anything new. */
    fun merge(other: SuspicionEntry): Boolean {
        val isNew = add(other)
        if (isNew) report(other.fingerprint, SuspicionCause.REPORTED)
        return isNew
    }

    /** Returns the entries of all suspected requests, those with the most deaths first. */
    fun suspicions(): List<SuspicionEntry> = entries.fingerprints().mapNotNull(::suspicion).sortedByDescending { it.deaths.size }

    /** Returns the entry of one request, or null when it is not suspected. */
    fun suspicion(fingerprint: Fingerprint): SuspicionEntry? = entries[fingerprint]?.let { toSuspicionEntry(fingerprint, it) }

    private fun add(other: SuspicionEntry): Boolean {
        val untilMs = clockMs() + minOf(other.remainingMs, settings.durationMs)
        return entries.merge(other.fingerprint, SuspicionTable.Entry(other.deaths, untilMs, other.lone))
    }

    // Deaths of several origins, one more than a single one is allowed, show that the origin makes no difference.
    private fun crashesWhateverItsOrigin(fingerprint: Fingerprint): Boolean {
        val origins = entries.withSignature(fingerprint.signature)
        if (origins.size < 2 || answeredRecently(fingerprint)) return false
        return origins.flatMapTo(HashSet()) { it.deaths }.size > settings.deaths
    }

    private fun answeredRecently(fingerprint: Fingerprint): Boolean {
        val atMs = answeredMs[fingerprint] ?: return false
        return clockMs() - atMs < ANSWERED_RETENTION_MS
    }

    private fun forgetAnswer(fingerprint: Fingerprint) {
        answeredMs.remove(fingerprint)
        exemptDeaths.remove(fingerprint)
    }

    private fun report(fingerprint: Fingerprint, cause: SuspicionCause) {
        onChange(SuspicionChange(fingerprint, cause, entries[fingerprint]?.deaths.orEmpty()))
    }

    private fun toSuspicionEntry(fingerprint: Fingerprint, entry: SuspicionTable.Entry) =
        SuspicionEntry(fingerprint, entry.deaths, entry.untilMs - clockMs(), entry.lone)

    private companion object {
        const val MAX_ENTRIES = 4_096
        const val ANSWERED_RETENTION_MS = 60_000L
    }
}
