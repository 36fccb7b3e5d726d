package org.endivestep.ingress

import io.github.oshai.kotlinlogging.KotlinLogging
import org.endivestep.document.RouteRule
import org.endivestep.exchange.MessageHeaders
import org.endivestep.exchange.monotonicMs
import org.endivestep.metrics.DecisionLine
import org.endivestep.metrics.DecisionLog
import org.endivestep.metrics.FinalOutcome

private val logger = KotlinLogging.logger {}

/** How one request ended; [rule] and [call] are null when it was refused before they were known. */
internal class RequestDecision(
    val outcome: FinalOutcome,
    val status: Int,
    val reason: String,
    val rule: RouteRule?,
    val call: IncomingCall?,
    /** Time in ms after which the caller was asked to send the request again, null when it was not. */
    val returnMs: Long? = null,
)

/**
 * Writes one line for each request: its id, how it ended, and what decided. Requests that were not
 * answered well have a bound of their own, so that those that were cannot displace them.
 */
internal class RequestLog(private val headers: MessageHeaders, private val configurationVersion: () -> Long) {
    private val served = DecisionLog(logger, SERVED_LINES_A_SECOND, ::monotonicMs)
    private val troubled = DecisionLog(logger, TROUBLED_LINES_A_SECOND, ::monotonicMs)

    /** Lines that were left out since the start to keep the bounds. */
    val linesLeftOut: Long get() = served.suppressed.get() + troubled.suppressed.get()

    fun write(request: CallerRequest, decision: RequestDecision) {
        val elapsedMs = monotonicMs() - request.arrivedMs
        val log = if (isGood(decision, elapsedMs)) served else troubled
        log.write { DecisionLine("request ${decision.outcome.text}", facts(request, decision, elapsedMs)) }
    }

    private fun isGood(decision: RequestDecision, elapsedMs: Long): Boolean =
        decision.outcome == FinalOutcome.ANSWERED &&
            decision.status < FIRST_SERVER_ERROR &&
            elapsedMs <= (decision.rule?.objectiveMs ?: 0) &&
            decision.call?.trace?.size == 1

    private fun facts(request: CallerRequest, decision: RequestDecision, elapsedMs: Long): Map<String, Any> =
        buildMap {
            put("request", request.header(headers.requestId).orEmpty())
            put("status", decision.status)
            if (decision.reason.isNotEmpty()) put("reason", decision.reason)
            put("route", decision.rule?.name?.text ?: "none for ${request.header("Host")}${request.target}")
            decision.call?.let { put("service", it.service.name.text) }
            put("elapsedMs", elapsedMs)
            put("deadlineMs", request.header(headers.deadlineMs).orEmpty())
            decision.rule?.let { put("objectiveMs", it.objectiveMs) }
            decision.rule?.let { put("timeoutMs", it.timeoutMs) }
            decision.rule?.let { put("priority", it.priority) }
            decision.returnMs?.let { put("returnMs", it) }
            put("configuration", configurationVersion())
            decision.call?.let { put("attempts", it.trace) }
        }

    private companion object {
        const val SERVED_LINES_A_SECOND = 20
        const val TROUBLED_LINES_A_SECOND = 50
        const val FIRST_SERVER_ERROR = 500
    }
}
