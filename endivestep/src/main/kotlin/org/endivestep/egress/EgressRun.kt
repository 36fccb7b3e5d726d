package org.endivestep.egress

import org.endivestep.admission.AdmissionLimit
import org.endivestep.admission.AdmissionQueue
import org.endivestep.admission.Completion
import org.endivestep.exchange.AttemptRequest
import org.endivestep.identity.KindName
import java.util.concurrent.atomic.AtomicBoolean

/** Learns of each run of a request on the worker. Called on the request's own thread; must not block. */
internal interface RunObserver {
    fun started()

    fun ended(kind: KindName, completion: Completion, how: RequestEnd)
}

/** Ignores all runs. */
internal val noObserver: RunObserver =
    object : RunObserver {
        override fun started() = Unit

        override fun ended(kind: KindName, completion: Completion, how: RequestEnd) = Unit
    }

/** One admitted request, from its start on the worker to the end of the answer. Only the first call of [end] has an effect. */
internal class EgressRun(
    val request: AttemptRequest,
    private val worker: LocalWorker,
    private val permit: AdmissionLimit.Permit,
    private val admission: AdmissionQueue,
    private val crashes: CrashDetector,
    private val clockNanos: () -> Long,
    private val observer: RunObserver = noObserver,
) {
    private val startNanos = clockNanos()
    private val ended = AtomicBoolean()

    fun begin() {
        observer.started()
        crashes.begin(request)
    }

    fun elapsedMs(): Double = (clockNanos() - startNanos) / NANOS_PER_MS

    fun end(completion: Completion, how: RequestEnd = RequestEnd.OTHER) {
        if (!ended.compareAndSet(false, true)) return
        observer.ended(request.kind, completion, how)
        crashes.end(request, worker, how)
        admission.release(permit, completion)
    }

    private companion object {
        const val NANOS_PER_MS = 1_000_000.0
    }
}
