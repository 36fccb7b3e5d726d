package org.endivestep.egress

import org.endivestep.admission.AdmissionLimit
import org.endivestep.admission.AdmissionQueue
import org.endivestep.admission.Completion
import org.endivestep.exchange.AttemptRequest
import java.util.concurrent.atomic.AtomicBoolean

/** One admitted request, from its start on the worker to the end of the answer. Only the first call of [end] has an effect. */
internal class EgressRun(
    val request: AttemptRequest,
    private val worker: LocalWorker,
    private val permit: AdmissionLimit.Permit,
    private val admission: AdmissionQueue,
    private val crashes: CrashDetector,
    private val clockNanos: () -> Long,
) {
    private val startNanos = clockNanos()
    private val ended = AtomicBoolean()

    fun begin() = crashes.begin(request)

    fun elapsedMs(): Double = (clockNanos() - startNanos) / NANOS_PER_MS

    fun end(completion: Completion, how: RequestEnd = RequestEnd.OTHER) {
        if (!ended.compareAndSet(false, true)) return
        crashes.end(request, worker, how)
        admission.release(permit, completion)
    }

    private companion object {
        const val NANOS_PER_MS = 1_000_000.0
    }
}
