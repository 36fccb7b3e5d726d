package org.endivestep.fakes

import org.endivestep.admission.AdmissionQueue
import org.endivestep.document.Document
import org.endivestep.egress.Announcement
import org.endivestep.egress.AttemptRegistry
import org.endivestep.egress.CrashDetector
import org.endivestep.egress.Egress
import org.endivestep.egress.InFlightRequests
import org.endivestep.egress.RunObserver
import org.endivestep.egress.WorkerAnswerInterpreter
import org.endivestep.egress.WorkerCall
import org.endivestep.egress.WorkerRegistry
import org.endivestep.egress.WorkerResult
import org.endivestep.egress.noObserver
import org.endivestep.egress.serviceAnswerInterpreter
import org.endivestep.exchange.AttemptRequest
import org.endivestep.exchange.CallerLease
import org.endivestep.exchange.Deadline
import org.endivestep.exchange.RequestBody
import org.endivestep.exchange.monotonicMs
import org.endivestep.identity.AttemptId
import org.endivestep.identity.DataCentreName
import org.endivestep.identity.Fingerprint
import org.endivestep.identity.KindName
import org.endivestep.identity.RequestId
import org.endivestep.identity.ServiceName
import org.endivestep.identity.WorkerIncarnation
import org.endivestep.outcome.AnswerHead
import org.endivestep.outcome.HeaderField
import org.endivestep.outcome.OutcomeHeaders
import org.endivestep.quarantine.Quarantine
import org.endivestep.rollout.VersionPermission
import org.endivestep.rollout.everyVersionPermitted
import org.endivestep.settings.Address
import java.util.concurrent.TimeUnit
import java.util.concurrent.atomic.AtomicInteger

/** Test fixture: an [Egress] whose calls to the worker go to the function [worker]. */
internal class EgressFixture(
    service: String = "bestel",
    @Volatile var document: Document? = sampleDocument(),
    dataCentre: String = "katwijk",
    quarantine: Quarantine? = null,
    private val address: Address = Address("127.0.0.1", 1),
    answerInterpreter: WorkerAnswerInterpreter = serviceAnswerInterpreter,
    private val clockNanos: () -> Long = System::nanoTime,
    permitsVersion: VersionPermission = everyVersionPermitted,
    observer: RunObserver = noObserver,
    private val worker: WorkerCall,
) {
    val runs = AtomicInteger()
    val workers = WorkerRegistry()
    val attempts = AttemptRegistry({ 60_000L }, ::nowMs)
    val inFlight = InFlightRequests(2_000, ::nowMs)
    private val limits = sampleDocument().services.getValue(ServiceName(service)).limits
    val admission = AdmissionQueue(limits, ::nowMs)

    @Volatile
    var workerListens = true

    val quarantine = quarantine ?: Quarantine(sampleDocument().quarantine, clockMs = ::nowMs)
    val crashes = CrashDetector(this.quarantine, inFlight, workers, { workerListens }, { admission.refuseUnrunnable() })
    val egress =
        Egress(
            DataCentreName(dataCentre),
            { document },
            admission,
            workers,
            attempts,
            crashes,
            answerInterpreter,
            clockNanos = clockNanos,
            permitsVersion = permitsVersion,
            observer = observer,
        ) { local, request ->
            val result = worker(local, request)
            if (ran(result)) runs.incrementAndGet()
            result
        }

    init {
        announce(service, "run-1")
    }

    // The worker did not execute a request that was not sent or that it shed.
    private fun ran(result: WorkerResult): Boolean =
        when (result) {
            is WorkerResult.NotSent -> false
            is WorkerResult.Answered -> result.head.status != SHED_STATUS
            else -> true
        }

    private fun nowMs(): Long = TimeUnit.NANOSECONDS.toMillis(clockNanos())

    fun announce(service: String, incarnation: String, leaving: Boolean = false) =
        workers.announce(Announcement(ServiceName(service), address, WorkerIncarnation(incarnation), leaving))

    private companion object {
        const val SHED_STATUS = 503
    }
}

/** Returns a worker that answers every request with status 200 and the complete [body]. */
internal fun answering(body: ByteArray = "whole".toByteArray()): WorkerCall =
    { _, request ->
        val echo = HeaderField(OutcomeHeaders.REQUEST_ID, request.requestId.text)
        WorkerResult.Answered(AnswerHead(200, listOf(echo, HeaderField("Content-Length", "${body.size}"))), body.inputStream()) { }
    }

internal fun sampleAttempt(
    id: String = "attempt",
    service: String = "bestel",
    fingerprint: String = "print",
    body: RequestBody = RequestBody.Inline(ByteArray(0)),
    remainingMs: Long = 5_000,
    nowMs: Long = monotonicMs(),
    lease: CallerLease = CallerLease.unlimited(),
) = AttemptRequest(
    requestId = RequestId("request"),
    attemptId = AttemptId(id),
    service = ServiceName(service),
    kind = KindName("order"),
    method = "POST",
    path = "/orders",
    headers = emptyList(),
    body = body,
    deadline = Deadline(nowMs + remainingMs),
    fingerprint = Fingerprint(fingerprint),
    lease = lease,
)
