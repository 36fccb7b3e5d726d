package org.endivestep.egress

import org.endivestep.document.Service
import org.endivestep.exchange.AttemptRequest
import org.endivestep.outcome.AnswerHead
import org.endivestep.outcome.NotRunReason
import org.endivestep.outcome.OutcomeHeaders

/** What the head of a worker's answer says of the request. */
internal sealed interface AnswerVerdict {
    data object Accepted : AnswerVerdict

    /** The worker says that it did not run the request. */
    class NotRun(val reason: NotRunReason, val final: Boolean = false) : AnswerVerdict

    /** The answer belongs to another request. */
    data object Mismatched : AnswerVerdict
}

/** How the answers of workers are read. */
internal class WorkerDialect(
    val judge: (Service, AttemptRequest, AnswerHead) -> AnswerVerdict,
    /** Returns how long work takes at the worker, in percent of the usual time; null when the answer does not say. */
    val slownessPercent: (AnswerHead) -> Int?,
)

/** Reads answers by the settings of the service. */
internal val dialectOfService =
    WorkerDialect(
        judge = { service, request, head ->
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
