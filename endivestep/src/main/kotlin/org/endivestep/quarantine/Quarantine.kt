package org.endivestep.quarantine

import org.endivestep.document.QuarantineSettings
import org.endivestep.identity.Fingerprint
import org.endivestep.identity.WorkerIncarnation

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
internal data class SuspicionEntry(
    val fingerprint: Fingerprint,
    val deaths: Set<WorkerIncarnation>,
    val remainingMs: Long,
    val lone: Boolean,
)

/**
 * Detects requests that crash every worker that runs them.
 *
 * A request in flight when a worker dies is a suspect, unless the same request was answered within the
 * last [ANSWERED_RETENTION_MS]: one that crashes its workers is never answered. A suspect that is
 * answered is cleared. A request that was in flight at [QuarantineSettings.deaths] worker deaths is
 * refused until the entry expires. Requests that differ only in their origin are suspected separately,
 * until workers have died of several of them.
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
    fun workerDied(worker: WorkerIncarnation, inFlight: Collection<Fingerprint>): List<SuspicionEntry> {
        val (exempt, suspects) = inFlight.toSet().partition(::answeredRecently)
        exempt.forEach { report(it, SuspicionCause.ANSWERED_RECENTLY) }
        return suspects.map { fingerprint ->
            add(SuspicionEntry(fingerprint, setOf(worker), settings.durationMs, lone = suspects.size == 1))
            report(fingerprint, SuspicionCause.IN_FLIGHT_AT_DEATH)
            toSuspicionEntry(fingerprint, checkNotNull(entries[fingerprint]))
        }
    }

    /** Records that a worker answered a request, which clears it as a suspect unless it is quarantined. */
    fun answered(fingerprint: Fingerprint) {
        answeredMs.remove(fingerprint)
        answeredMs[fingerprint] = clockMs()
        if (answeredMs.size > MAX_ENTRIES) answeredMs.remove(answeredMs.keys.first())
        if (suspicionLevel(fingerprint) == SuspicionLevel.QUARANTINED) return
        if (entries.remove(fingerprint)) report(fingerprint, SuspicionCause.ANSWERED)
    }

    /** Merges an entry received from another daemon; returns whether it contained anything new. */
    fun merge(other: SuspicionEntry): Boolean {
        val isNew = add(other)
        if (isNew) report(other.fingerprint, SuspicionCause.REPORTED)
        return isNew
    }

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
