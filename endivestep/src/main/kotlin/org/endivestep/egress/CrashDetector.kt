package org.endivestep.egress

import org.endivestep.exchange.AttemptRequest
import org.endivestep.identity.Fingerprint
import org.endivestep.quarantine.Quarantine
import org.endivestep.quarantine.SuspicionEntry
import org.endivestep.quarantine.SuspicionLevel
import org.endivestep.settings.Address

/** Returns whether a process is listening at the address. */
internal typealias ListenCheck = (Address) -> Boolean

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

    fun end(request: AttemptRequest, worker: LocalWorker, connectionLost: Boolean, answered: Boolean) {
        inFlight.end(request.attemptId, connectionLost)
        if (answered) synchronized(quarantine) { quarantine.answered(request.fingerprint) }
        if (connectionLost && !isListening(worker.announcement.address)) onWorkerUnreachable(worker)
    }

    /** Records that another run of the worker started while [died] was considered to be serving. */
    fun workerReplaced(died: LocalWorker) = recordDeath(died)

    /** Merges suspicion entries received from other daemons. */
    fun merge(entries: List<SuspicionEntry>) = synchronized(quarantine) { entries.forEach(quarantine::merge) }

    private fun onWorkerUnreachable(worker: LocalWorker) {
        if (workers.markDead(worker.announcement.incarnation) != null) recordDeath(worker)
    }

    private fun recordDeath(worker: LocalWorker) {
        val fingerprints = inFlight.takeAtDeath()
        val entries = synchronized(quarantine) { quarantine.workerDied(worker.announcement.incarnation, fingerprints) }
        onDeath(entries)
    }
}
