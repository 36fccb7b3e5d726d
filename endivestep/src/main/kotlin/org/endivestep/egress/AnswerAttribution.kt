package org.endivestep.egress

import org.endivestep.exchange.MessageHeaders
import org.endivestep.identity.RequestId
import org.endivestep.outcome.AnswerHead

private val successStatuses = 200..299

/** Whether the head of an answer shows that a worker gave it to a request. */
internal sealed interface AnswerAttribution {
    data object Own : AnswerAttribution

    /** The answer names another request; the expected one may follow it. */
    data object OtherRequest : AnswerAttribution

    /** Nothing shows to which request the answer belongs, or that a worker gave it, because of [cause]. */
    data class Unproved(val cause: String) : AnswerAttribution
}

/**
 * Attributes the answer that begins with [head] to [request]: an answer echoes the id of its request once, and a success
 * also has the worker's signature where workers sign their answers.
 */
internal fun attributionOf(request: RequestId, head: AnswerHead, headers: MessageHeaders): AnswerAttribution {
    val echoed = head.values(headers.requestId).filter { it.isNotEmpty() }
    val signature = headers.signature
    return when {
        echoed.isEmpty() -> AnswerAttribution.Unproved("it has no request id")
        request.text !in echoed -> AnswerAttribution.OtherRequest
        echoed.size > 1 -> AnswerAttribution.Unproved("it has several request ids")
        signature == null || head.status !in successStatuses -> AnswerAttribution.Own
        head.values(signature).all { it.isEmpty() } -> AnswerAttribution.Unproved("it is a success without the worker's signature")
        else -> AnswerAttribution.Own
    }
}

private fun AnswerHead.values(name: String): List<String> =
    headers.filter { it.name.equals(name, ignoreCase = true) }.map { it.value.trim() }
