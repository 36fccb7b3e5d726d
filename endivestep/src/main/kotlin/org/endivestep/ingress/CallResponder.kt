package org.endivestep.ingress

import org.endivestep.claim.RecordedAnswer
import org.endivestep.exchange.forwarded
import org.endivestep.exchange.monotonicMs
import org.endivestep.metrics.FinalOutcome
import org.endivestep.metrics.OutcomeCounters
import org.endivestep.metrics.OutcomeLabel
import org.endivestep.outcome.AnswerHead
import org.endivestep.outcome.AttemptResult
import org.endivestep.outcome.NotRunReason
import org.endivestep.outcome.OutcomeHeaders
import org.endivestep.outcome.UnknownReason
import org.endivestep.outcome.status
import org.http4k.core.Response
import org.http4k.core.Status

/** Called when an answer that is being recorded has ended. */
internal typealias AnswerRecorder = (AnswerHead, Recording) -> Unit

/** Builds the response to one call and records the call's outcome in the metrics. */
internal class CallResponder(
    private val call: IncomingCall,
    private val counters: OutcomeCounters,
    private val log: CallLog,
    private val completion: RequestCompletion,
) {
    fun respondTo(result: AttemptResult, recorder: AnswerRecorder?): Response =
        when (result) {
            is AttemptResult.Answered -> answered(result, recorder)
            // This daemon has already tried other workers, so upstream daemons must not retry.
            is AttemptResult.NotRun -> notRun(result.reason)
            is AttemptResult.Unknown -> unknown(result.reason)
        }

    fun notRun(reason: NotRunReason, final: Boolean = true): Response {
        recordOutcome(FinalOutcome.NOT_RUN, reason.text)
        val response = refusal(reason.status(), FinalOutcome.NOT_RUN, reason.text)
        return if (final) response.header(OutcomeHeaders.RETRY, "no") else response
    }

    fun unknown(reason: UnknownReason): Response {
        recordOutcome(FinalOutcome.UNKNOWN, reason.text)
        return refusal(reason.status(), FinalOutcome.UNKNOWN, reason.text)
    }

    /** Refuses a call before the store was queried for an earlier request with the same idempotency key. */
    fun refusedBeforeClaim(reason: NotRunReason): Response {
        if (!call.needsClaim) return notRun(reason, final = false).header("Connection", "close")
        return unknown(UnknownReason.KEY_NOT_CHECKED).header("Connection", "close")
    }

    fun replayed(answer: RecordedAnswer): Response {
        recordOutcome(FinalOutcome.ANSWERED, "")
        val body = answer.body
        val status = if (body == null) ANSWER_NOT_KEPT else answer.head.status
        return Response(Status(status, ""))
            .headers(answer.head.headers.forwarded().map { it.name to it.value })
            .header(OutcomeHeaders.REQUEST_ID, call.id.text)
            .header(OutcomeHeaders.OUTCOME, FinalOutcome.ANSWERED.text)
            .header(OutcomeHeaders.REPLAYED, if (body == null) "answer-not-kept" else "yes")
            .header("Content-Length", (body?.size ?: 0).toString())
            .body((body ?: ByteArray(0)).inputStream())
    }

    private fun answered(result: AttemptResult.Answered, recorder: AnswerRecorder?): Response {
        val recording =
            RecordingStream(result.body, enabled = recorder != null) { recording ->
                recordEnd(recording)
                recorder?.invoke(result.head, recording)
            }
        val response =
            Response(Status(result.head.status, ""))
                .headers(result.head.headers.forwarded().map { it.name to it.value })
                .header(OutcomeHeaders.REQUEST_ID, call.id.text)
                .header(OutcomeHeaders.OUTCOME, FinalOutcome.ANSWERED.text)
                .body(recording, result.head.contentLength)
        val length = result.head.contentLength ?: return response
        return response.header("Content-Length", length.toString())
    }

    private fun recordEnd(recording: Recording) {
        val late = monotonicMs() - call.startMs > call.kind.deadlineMs
        when {
            recording is Recording.Truncated -> recordOutcome(FinalOutcome.CUT, "")
            late -> recordOutcome(FinalOutcome.LATE, "")
            else -> recordOutcome(FinalOutcome.ANSWERED, "")
        }
    }

    private fun refusal(status: Int, outcome: FinalOutcome, reason: String): Response =
        Response(Status(status, reason))
            .header(OutcomeHeaders.REQUEST_ID, call.id.text)
            .header(OutcomeHeaders.OUTCOME, outcome.text)
            .header(OutcomeHeaders.REASON, reason)
            .header("Content-Length", "0")

    private fun recordOutcome(outcome: FinalOutcome, reason: String) {
        counters.count(OutcomeLabel(call.service.name.text, call.kind.name.text, outcome, reason))
        counters.time(call.service.name.text, monotonicMs() - call.startMs)
        log.write(call, outcome, reason)
        completion.complete()
    }

    private companion object {
        const val ANSWER_NOT_KEPT = 409
    }
}
