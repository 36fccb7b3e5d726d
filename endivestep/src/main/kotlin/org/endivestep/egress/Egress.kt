package org.endivestep.egress

import org.endivestep.admission.Admission
import org.endivestep.admission.AdmissionLimit
import org.endivestep.admission.AdmissionQueue
import org.endivestep.admission.AdmissionRequest
import org.endivestep.admission.Completion
import org.endivestep.admission.Occupancy
import org.endivestep.choice.KindProfiles
import org.endivestep.choice.completionMs
import org.endivestep.document.Document
import org.endivestep.document.Service
import org.endivestep.exchange.AttemptRequest
import org.endivestep.exchange.monotonicMs
import org.endivestep.identity.AttemptId
import org.endivestep.identity.DataCentreName
import org.endivestep.metrics.AdmissionRecord
import org.endivestep.outcome.AttemptResult
import org.endivestep.outcome.NotRunReason
import org.endivestep.outcome.UnknownReason
import org.endivestep.quarantine.SuspicionLevel
import org.endivestep.rollout.VersionPermission
import org.endivestep.rollout.everyVersionPermitted
import java.util.concurrent.TimeUnit

private const val FIRST_ERROR = 400
private const val FIRST_SERVER_ERROR = 500

/**
 * Admits requests to this daemon's worker and runs them there.
 *
 * A request that this daemon refuses is refused before any byte of it reaches the worker. Thread-safe;
 * [run] blocks.
 */
internal class Egress(
    private val dataCentre: DataCentreName,
    private val document: () -> Document?,
    private val admission: AdmissionQueue,
    private val workers: WorkerRegistry,
    private val attempts: AttemptRegistry,
    private val crashes: CrashDetector,
    private val answerInterpreter: WorkerAnswerInterpreter = serviceAnswerInterpreter,
    /** Processing times of the worker by kind, measured here: other daemons send kinds that this daemon never sends itself. */
    private val processingTimes: KindProfiles = KindProfiles(),
    private val clockNanos: () -> Long = System::nanoTime,
    private val permitsVersion: VersionPermission = everyVersionPermitted,
    private val observer: RunObserver = noObserver,
    /** Receives the admission decisions while the configuration has teams. */
    private val onAdmission: (AdmissionRecord) -> Unit = { },
    private val call: WorkerCall,
) {
    private val log = RunLog(::nowMs)

    @Volatile
    private var stopping = false

    /** When a request was last sent to the worker or last answered by it; no probe is needed shortly after that. */
    @Volatile
    var lastTrafficMs: Long = nowMs()
        private set

    /** Refuses all new requests from now on. */
    fun stop() {
        stopping = true
        admission.close(NotRunReason.LEAVING)
    }

    /** Prevents [attempt], whose head was sent [ageMs] ago, from starting if it has not started yet. */
    fun fence(attempt: AttemptId, ageMs: Long): FenceResult = attempts.fence(attempt, ageMs)

    /**
     * Runs [request] on the worker. [onAdmitted] is called before the request is sent to the worker; if it
     * throws, the request is not run.
     */
    fun run(request: AttemptRequest, onAdmitted: () -> Unit): AttemptResult {
        val service = document()?.services?.get(request.service) ?: return refuse(NotRunReason.NO_CONFIGURATION)
        val worker = workers.worker
        refusal(request, worker)?.let { return refuse(it) }
        // Asked here already, so that a request whose caller may have left takes no place in the queue.
        if (!request.lease.renewIfOld()) return refuse(NotRunReason.DELAYED)
        return when (val decision = admit(request)) {
            is Admission.Refused -> refuse(decision.reason)
            is Admission.Admitted -> runAdmitted(request, service, checkNotNull(worker), decision.permit, onAdmitted)
        }
    }

    private fun admit(request: AttemptRequest): Admission {
        if (document()?.teams?.isEmpty != false) return admission.admit(admissionRequest(request))
        val arrivedMs = nowMs()
        val decision = admission.admit(admissionRequest(request))
        val refusal = (decision as? Admission.Refused)?.reason
        onAdmission(AdmissionRecord(request.kind, request.rank, nowMs() - arrivedMs, refusal, admission.load))
        return decision
    }

    private fun refusal(request: AttemptRequest, worker: LocalWorker?): NotRunReason? =
        when {
            document()?.isIn(dataCentre) != true -> NotRunReason.DATA_CENTRE_OUT
            stopping -> NotRunReason.LEAVING
            else -> workerRefusal(request, worker) ?: NotRunReason.DEADLINE_PASSED.takeUnless { request.isNeeded(nowMs()) }
        }

    private fun workerRefusal(request: AttemptRequest, worker: LocalWorker?): NotRunReason? =
        when {
            worker == null || worker.announcement.service != request.service -> NotRunReason.NO_WORKER
            worker.phase == WorkerPhase.LEAVING -> NotRunReason.LEAVING
            worker.phase == WorkerPhase.DIED -> NotRunReason.WORKER_UNREACHABLE
            !permitsVersion(request.service, worker.announcement.statedVersion) -> NotRunReason.VERSION_NOT_PERMITTED
            crashes.suspicionLevel(request.fingerprint) == SuspicionLevel.QUARANTINED -> NotRunReason.QUARANTINED
            else -> null
        }

    // Limits the wait so that enough time remains to run the request; past that, another worker is a better choice.
    private fun admissionRequest(request: AttemptRequest): AdmissionRequest {
        val remainingMs = request.deadline.remainingMs(nowMs())
        val workMs = processingTimes.knownMs(request.kind)?.let { completionMs(it, admission.load.slownessPercent) } ?: 0.0
        val maxWaitMs = if (workMs > 0) remainingMs - (workMs * MIN_WORK_FRACTION).toLong() else remainingMs / 2
        val hasLargeAnswer = document()?.routes?.find(request.kind)?.semantics?.hasLargeAnswer == true
        return AdmissionRequest(minOf(maxWaitMs, request.maxWaitMs), { occupancy(request) }, request.rank, workMs, hasLargeAnswer) {
            workerRefusal(request, workers.worker)
        }
    }

    private fun occupancy(request: AttemptRequest): Occupancy =
        if (crashes.suspicionLevel(request.fingerprint) == SuspicionLevel.LONE_SUSPECT) Occupancy.ALONE else Occupancy.SHARED

    private fun runAdmitted(
        request: AttemptRequest,
        service: Service,
        worker: LocalWorker,
        permit: AdmissionLimit.Permit,
        onAdmitted: () -> Unit,
    ): AttemptResult {
        val refusal = refusal(request, workers.worker)
        if (refusal != null) return releaseAndRefuse(permit, refusal)
        if (!releasingOnFailure(permit) { request.lease.renewIfOld() }) return releaseAndRefuse(permit, NotRunReason.DELAYED)
        releasingOnFailure(permit, onAdmitted)
        if (!attempts.start(request.attemptId)) {
            if (attempts.isFenced(request.attemptId)) return releaseAndRefuse(permit, NotRunReason.FENCED)
            admission.release(permit, Completion.Cancelled)
            return AttemptResult.Unknown(UnknownReason.EARLIER_ATTEMPT, admission.load)
        }
        lastTrafficMs = nowMs()
        request.times.admittedMs = monotonicMs()
        val run = EgressRun(request, worker, permit, admission, crashes, clockNanos, observer)
        run.begin()
        // Checked again now that the request counts as in flight: a roll-out is completed when no old worker has one.
        if (!permitsVersion(request.service, worker.announcement.statedVersion)) {
            run.end(Completion.Cancelled, RequestEnd.NOT_SENT)
            return refuse(NotRunReason.VERSION_NOT_PERMITTED)
        }
        return when (val result = callWorker(run, worker)) {
            is WorkerResult.Answered -> answered(run, service, result)
            is WorkerResult.NotSent -> {
                run.end(Completion.Failed, RequestEnd.NOT_SENT)
                AttemptResult.NotRun(NotRunReason.WORKER_UNREACHABLE, admission.load)
            }
            WorkerResult.Expired -> {
                run.end(Completion.Cancelled)
                refuse(if (request.isNeeded(nowMs())) NotRunReason.DELAYED else NotRunReason.DEADLINE_PASSED)
            }
            WorkerResult.Cancelled -> {
                run.end(Completion.Cancelled)
                AttemptResult.Unknown(UnknownReason.CANCELLED, admission.load)
            }
            is WorkerResult.Failed -> {
                run.end(Completion.Failed, if (result.timedOut) RequestEnd.OTHER else RequestEnd.CONNECTION_LOST)
                val reason = if (result.timedOut) UnknownReason.TIMEOUT else UnknownReason.WORKER_FAILED
                AttemptResult.Unknown(reason, admission.load)
            }
        }
    }

    private fun callWorker(run: EgressRun, worker: LocalWorker): WorkerResult {
        var result: WorkerResult? = null
        try {
            result = call(worker, run.request)
            return result
        } finally {
            log.write(run, worker, result)
            if (result == null) run.end(Completion.Cancelled)
        }
    }

    private fun <T> releasingOnFailure(permit: AdmissionLimit.Permit, action: () -> T): T {
        var succeeded = false
        try {
            return action().also { succeeded = true }
        } finally {
            if (!succeeded) admission.release(permit, Completion.Cancelled)
        }
    }

    private fun answered(run: EgressRun, service: Service, result: WorkerResult.Answered): AttemptResult {
        lastTrafficMs = nowMs()
        val head = result.head
        val verdict = answerInterpreter.interpret(service, run.request, head)
        if (verdict is AnswerVerdict.Mismatched) {
            result.abort()
            run.end(Completion.Failed)
            return AttemptResult.Unknown(UnknownReason.MISMATCHED_ANSWER, admission.load)
        }
        answerInterpreter.slownessPercent(head)?.let(admission::noteSlowness)
        if (!answerInterpreter.acceptsUndelimitedAnswers && !head.isDelimited(run.request.method)) {
            result.abort()
            run.end(Completion.Cancelled)
            return AttemptResult.Unknown(UnknownReason.UNDELIMITED_ANSWER, admission.load)
        }
        if (verdict is AnswerVerdict.NotRun) {
            result.abort()
            run.end(Completion.Shed)
            return AttemptResult.NotRun(verdict.reason, admission.load, verdict.final)
        }
        val latencyMs = run.elapsedMs()
        if (head.status < FIRST_ERROR) processingTimes.observed(run.request.kind, latencyMs)
        val completion = if (head.status >= FIRST_SERVER_ERROR) Completion.Failed else Completion.Answered(latencyMs)
        val failureEnding = { failureEnding(run.request) }
        val body = AnswerBody(result.body, result.abort, failureEnding) { run.end(it.completion(completion), it.requestEnd(completion)) }
        return AttemptResult.Answered(head, body, admission.load)
    }

    // A request that is cancelled, or past its deadline, ends with its connection.
    private fun failureEnding(request: AttemptRequest): AnswerEnding =
        when {
            request.cancellation.isCancelled -> AnswerEnding.ABANDONED
            request.answerDeadline.remainingMs(nowMs()) <= 0 -> AnswerEnding.OVERDUE
            else -> AnswerEnding.TRUNCATED
        }

    private fun releaseAndRefuse(permit: AdmissionLimit.Permit, reason: NotRunReason): AttemptResult {
        admission.release(permit, Completion.Cancelled)
        return refuse(reason)
    }

    private fun nowMs(): Long = TimeUnit.NANOSECONDS.toMillis(clockNanos())

    private fun refuse(reason: NotRunReason): AttemptResult = AttemptResult.NotRun(reason, admission.load)

    private companion object {
        // Some requests take less than the usual time.
        const val MIN_WORK_FRACTION = 0.7
    }
}
