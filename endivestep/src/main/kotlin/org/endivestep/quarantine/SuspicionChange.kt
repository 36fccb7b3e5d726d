package org.endivestep.quarantine

import org.endivestep.identity.Fingerprint
import org.endivestep.identity.WorkerRunId

/** What changed the suspicion of a request, or kept it from being suspected. */
internal enum class SuspicionCause(val text: String) {
    IN_FLIGHT_AT_DEATH("in flight when the worker died"),
    ANSWERED_RECENTLY("in flight when the worker died, but answered recently"),
    REPORTED("reported by another daemon"),
    ANSWERED("answered by a worker"),
    EXPIRED("expired"),
    EVICTED("evicted because there were too many entries"),
}

/** A change of the entry of [fingerprint], which has counted [deaths] after it. */
internal class SuspicionChange(val fingerprint: Fingerprint, val cause: SuspicionCause, val deaths: Set<WorkerRunId>)
