package org.endivestep.daemon

import org.endivestep.admission.AdmissionQueue
import org.endivestep.document.LimitSettings
import org.endivestep.document.QuarantineSettings
import org.endivestep.egress.AttemptRegistry
import org.endivestep.egress.CrashDetector
import org.endivestep.egress.InFlightRequests
import org.endivestep.egress.LOST_REQUEST_RETENTION_MS
import org.endivestep.egress.WorkerRegistry
import org.endivestep.egress.listensAt
import org.endivestep.exchange.monotonicMs
import org.endivestep.quarantine.Quarantine
import org.endivestep.quarantine.SuspicionEntry
import org.endivestep.quarantine.suspicionLog

/**
 * What a daemon keeps of the worker beside it: its runs, its admission limit and the requests that run there or crashed it.
 * [limits] and [quarantined] are in force until there is a configuration. [onDeath] is called when the worker has died.
 */
internal class WorkerParts(
    limits: LimitSettings,
    quarantined: QuarantineSettings,
    fenceRetentionMs: () -> Long,
    onDeath: (List<SuspicionEntry>) -> Unit,
) {
    val workers = WorkerRegistry()
    val admission = AdmissionQueue(limits, ::monotonicMs)
    val quarantine = Quarantine(quarantined, suspicionLog(), ::monotonicMs)
    val inFlight = InFlightRequests(LOST_REQUEST_RETENTION_MS, ::monotonicMs)
    val crashes = CrashDetector(quarantine, inFlight, workers, ::listensAt, onDeath)
    val attempts = AttemptRegistry(fenceRetentionMs, ::monotonicMs)
}
