package org.endivestep.egress

import org.endivestep.document.Service
import org.endivestep.exchange.AttemptRequest
import org.endivestep.outcome.AnswerHead
import org.endivestep.outcome.NotRunReason
import org.endivestep.outcome.OutcomeHeaders

/** Interpretation of the head of a worker's answer. */
internal sealed interface AnswerVerdict {
    data object Accepted : AnswerVerdict

    /** The worker reports that it did not run the request. */
    class NotRun(val reason: NotRunReason, val final: Boolean = false) : AnswerVerdict

    /** The answer belongs to another request. */
    data object Mismatched : AnswerVerdict
}

/** How the answers of workers are interpreted. */
internal class WorkerAnswerInterpreter(
    val interpret: (Service, AttemptRequest, AnswerHead) -> AnswerVerdict,
    /** Returns the worker's current processing time in percent of the usual time, or null when the answer does not state it. */
    val slownessPercent: (AnswerHead) -> Int?,
    /**
     * Whether an answer may end with its connection: a connection that is closed then ends the answer, and one that is
     * reset truncates it. Otherwise such an answer is not used.
     */
    val acceptsUndelimitedAnswers: Boolean = false,
)

/** Interprets answers by the settings of the service. */
internal val serviceAnswerInterpreter =
    WorkerAnswerInterpreter(
        interpret = { service, request, head ->
            val echoed = head.header(OutcomeHeaders.REQUEST_ID)
            when {
                service.echoesRequestId && echoed != request.requestId.text -> AnswerVerdict.Mismatched
                head.status == service.shedStatus ->
                    AnswerVerdict.NotRun(NotRunReason.WORKER_SHED, final = head.header(OutcomeHeaders.RETRY) == "no")
                else -> AnswerVerdict.Accepted
            }
        },
        slownessPercent = { null },
    )
