package org.endivestep.ingress

import org.endivestep.claim.ClaimDecision
import org.endivestep.claim.ClaimKey
import org.endivestep.claim.ClaimTask
import org.endivestep.claim.ClaimTaskExecutor
import org.endivestep.claim.Claims
import org.endivestep.claim.HeldClaim
import org.endivestep.claim.RecordedAnswer
import org.endivestep.document.Document
import org.endivestep.exchange.monotonicMs
import org.endivestep.identity.AttemptId
import org.endivestep.identity.RequestId
import org.endivestep.identity.randomId
import org.endivestep.metrics.FinalOutcome
import org.endivestep.metrics.OutcomeCounters
import org.endivestep.metrics.OutcomeLabel
import org.endivestep.outcome.AttemptResult
import org.endivestep.outcome.NotRunReason
import org.endivestep.outcome.OutcomeHeaders
import org.endivestep.outcome.UnknownReason
import org.endivestep.outcome.status
import org.http4k.core.Request
import org.http4k.core.Response
import org.http4k.core.Status
import java.util.concurrent.atomic.AtomicInteger

/** Serves callers: each request ends with a complete answer, a refusal that guarantees it did not run, or an unknown outcome. */
internal class Ingress(
    private val document: () -> Document?,
    private val dispatcher: Dispatcher,
    private val claims: Claims,
    private val claimTasks: ClaimTaskExecutor,
    private val counters: OutcomeCounters,
) {
    private val active = AtomicInteger()
    private val log = CallLog()

    @Volatile
    private var stopping = false

    /** Requests whose response has not ended. */
    val activeCount: Int get() = active.get()

    /** Refuses new requests from now on; requests in flight continue. */
    fun stop() {
        stopping = true
    }

    /** Handles [request]. Reading the response body throws [java.io.IOException] when the response is truncated. */
    fun handle(request: Request): Response {
        active.incrementAndGet()
        val completion = RequestCompletion { active.decrementAndGet() }
        var response: Response? = null
        try {
            response = serve(request, completion)
            return response
        } finally {
            if (response == null) completion.complete()
        }
    }

    private fun serve(request: Request, completion: RequestCompletion): Response {
        val id = RequestId(randomId())
        val current = document() ?: return refuseUnparsed(request, id, "", NotRunReason.NO_CONFIGURATION, "", completion)
        val read = parseCall(current, request, id, monotonicMs())
        if (read is ParseResult.Refused) return refuseUnparsed(request, id, read.service, read.reason, read.detail, completion)
        val call = (read as ParseResult.Parsed).call
        val responder = CallResponder(call, counters, log, completion)
        if (stopping) return responder.refusedBeforeClaim(NotRunReason.LEAVING)
        return if (call.needsClaim) serveClaimed(call, responder) else serveUnclaimed(call, responder)
    }

    private fun serveUnclaimed(call: IncomingCall, responder: CallResponder): Response =
        responder.respondTo(dispatcher.dispatch(call, AttemptId(randomId())), recorder = null)

    private fun serveClaimed(call: IncomingCall, responder: CallResponder): Response {
        val attempt = AttemptId(randomId())
        val key = ClaimKey(call.service.name, call.kind.name, checkNotNull(call.idempotencyKey))
        return when (val decision = claims.claim(key, attempt, call.fingerprint, inProgressWaitMs(call))) {
            is ClaimDecision.Run -> runClaimed(call, responder, attempt, decision.claim)
            is ClaimDecision.Replay -> responder.replayed(decision.answer)
            ClaimDecision.InProgress -> responder.unknown(UnknownReason.EARLIER_ATTEMPT)
            ClaimDecision.KeyReused -> responder.notRun(NotRunReason.KEY_REUSED)
            ClaimDecision.StoreUnavailable -> {
                claimTasks.submit(ClaimTask.ReleaseUnconfirmed(key, attempt))
                responder.unknown(UnknownReason.STORE_UNAVAILABLE)
            }
        }
    }

    // A caller that repeats a request while the first one is still running gets the answer to the first one.
    private fun inProgressWaitMs(call: IncomingCall): Long = minOf(call.deadline.remainingMs(monotonicMs()) / 2, IN_PROGRESS_WAIT_MS)

    private fun runClaimed(call: IncomingCall, responder: CallResponder, attempt: AttemptId, claim: HeldClaim): Response {
        val result = dispatcher.dispatch(call, attempt)
        when (result) {
            is AttemptResult.Answered -> Unit
            is AttemptResult.NotRun -> if (!claims.release(claim)) claimTasks.submit(ClaimTask.Release(claim))
            is AttemptResult.Unknown -> claimTasks.submit(ClaimTask.Abandon(claim))
        }
        return responder.respondTo(result) { head, recording ->
            val task =
                when (recording) {
                    is Recording.Complete -> ClaimTask.Complete(claim, RecordedAnswer(head, recording.body))
                    Recording.Truncated -> ClaimTask.Abandon(claim)
                }
            claimTasks.submit(task)
        }
    }

    private fun refuseUnparsed(
        request: Request,
        id: RequestId,
        service: String,
        reason: NotRunReason,
        detail: String,
        completion: RequestCompletion,
    ): Response {
        val known = if (reason == NotRunReason.UNKNOWN_SERVICE) "" else service
        val keyed = request.header(OutcomeHeaders.IDEMPOTENCY_KEY) != null
        // An earlier request with the same idempotency key may have run; only the store has that information.
        val mayHaveRun = keyed && reason == NotRunReason.NO_CONFIGURATION
        val outcome = if (mayHaveRun) FinalOutcome.UNKNOWN else FinalOutcome.NOT_RUN
        counters.count(OutcomeLabel(known, "", outcome, reason.text))
        completion.complete()
        return Response(Status(reason.status(), reason.text))
            .header(OutcomeHeaders.REQUEST_ID, id.text)
            .header(OutcomeHeaders.OUTCOME, outcome.text)
            .header(OutcomeHeaders.REASON, reason.text)
            .body(detail)
    }

    private companion object {
        const val IN_PROGRESS_WAIT_MS = 2_000L
    }
}

/** Runs [onEnd] at the first call of [complete]. */
internal class RequestCompletion(private val onEnd: () -> Unit) {
    private var ended = false

    @Synchronized
    fun complete() {
        if (ended) return
        ended = true
        onEnd()
    }
}
