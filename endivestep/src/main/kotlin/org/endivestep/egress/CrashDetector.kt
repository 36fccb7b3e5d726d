package org.endivestep.egress

import io.github.oshai.kotlinlogging.KotlinLogging
import org.endivestep.exchange.AttemptRequest
import org.endivestep.identity.Fingerprint
import org.endivestep.quarantine.Quarantine
import org.endivestep.quarantine.SuspicionEntry
import org.endivestep.quarantine.SuspicionLevel
import org.endivestep.settings.Address

private val logger = KotlinLogging.logger {}

/** Returns whether a process is listening at the address. */
internal typealias ListenCheck = (Address) -> Boolean

/** What showed that a worker died. */
private enum class DeathEvidence(val text: String) {
    NOT_LISTENING("nothing listens at its address any more"),
    OTHER_RUN("another run announced itself"),
}

/**
 * Detects that the worker died and records which requests were in flight.
 *
 * A lost connection alone does not count as a death: the worker has died when it no longer listens, or
 * when another run of it announces itself. Thread-safe.
 */
internal class CrashDetector(
    private val quarantine: Quarantine,
    private val inFlight: InFlightRequests,
    private val workers: WorkerRegistry,
    private val isListening: ListenCheck,
    private val onDeath: (List<SuspicionEntry>) -> Unit,
) {
    val inFlightCount: Int get() = inFlight.count

    val quarantinedCount: Int get() = synchronized(quarantine) { quarantine.quarantinedCount }

    fun suspicionLevel(fingerprint: Fingerprint): SuspicionLevel = synchronized(quarantine) { quarantine.suspicionLevel(fingerprint) }

    fun begin(request: AttemptRequest) = inFlight.begin(request.attemptId, request.fingerprint)

    fun end(request: AttemptRequest, worker: LocalWorker, how: RequestEnd) {
        inFlight.end(request.attemptId, how)
        if (how == RequestEnd.ANSWERED) synchronized(quarantine) { quarantine.answered(request.fingerprint) }
        val mayHaveDied = how == RequestEnd.CONNECTION_LOST || how == RequestEnd.NOT_SENT
        if (mayHaveDied && !isListening(worker.announcement.address)) workerNotListening(worker)
    }

    /** Records that another run of the worker started while [died] was considered to be serving. */
    fun workerReplaced(died: LocalWorker) = recordDeath(died, DeathEvidence.OTHER_RUN)

    /** Records that [worker] died, because nothing listens at its address. */
    fun workerNotListening(worker: LocalWorker) {
        if (workers.markDead(worker) != null) recordDeath(worker, DeathEvidence.NOT_LISTENING)
    }

    /** Suspicions that this daemon has, the gravest first. */
    fun suspicions(): List<SuspicionEntry> = synchronized(quarantine) { quarantine.suspicions() }

    /** Merges suspicion entries received from other daemons; returns this daemon's own entries where they count more deaths. */
    fun merge(entries: List<SuspicionEntry>): List<SuspicionEntry> =
        synchronized(quarantine) {
            entries.forEach(quarantine::merge)
            entries.mapNotNull { received ->
                quarantine.suspicion(received.fingerprint)?.takeUnless { received.deaths.containsAll(it.deaths) }
            }
        }

    private fun recordDeath(worker: LocalWorker, evidence: DeathEvidence) {
        val fingerprints = inFlight.takeAtDeath()
        val entries = synchronized(quarantine) { quarantine.workerDied(worker.announcement.run, fingerprints) }
        logger.atWarn {
            message = "the worker died"
            payload =
                mapOf(
                    "worker" to worker.announcement.run.text,
                    "evidence" to evidence.text,
                    "inFlight" to fingerprints.map { it.text },
                    "suspects" to entries.map { it.fingerprint.text },
                )
        }
        onDeath(entries)
    }
}
