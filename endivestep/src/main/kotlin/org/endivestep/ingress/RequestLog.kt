package org.endivestep.ingress

import io.github.oshai.kotlinlogging.KotlinLogging
import org.endivestep.document.RouteRule
import org.endivestep.exchange.MessageHeaders
import org.endivestep.exchange.monotonicMs
import org.endivestep.metrics.FinalOutcome
import org.endivestep.metrics.LogEntry
import org.endivestep.metrics.RateLimitedLog

private val logger = KotlinLogging.logger {}

/** How one request ended; [rule] and [call] are null when it was refused before they were known. */
internal class RequestDecision(
    val outcome: FinalOutcome,
    val status: Int,
    val reason: String,
    val rule: RouteRule?,
    val call: IncomingCall?,
    /** Time in ms after which the caller was asked to retry, null when it was not asked to. */
    val retryDelayMs: Long? = null,
)

/**
 * Writes one log line for each request: its id, its outcome and what decided it. Problem requests (late,
 * retried, failed or refused) have a rate limit of their own, so that successes cannot displace them.
 */
internal class RequestLog(private val headers: MessageHeaders, private val configurationVersion: () -> Long) {
    private val successes = RateLimitedLog(logger, SUCCESS_LINES_PER_SECOND, ::monotonicMs)
    private val problems = RateLimitedLog(logger, PROBLEM_LINES_PER_SECOND, ::monotonicMs)

    /** Lines dropped since the start because of the rate limits. */
    val linesLeftOut: Long get() = successes.suppressed.get() + problems.suppressed.get()

    fun write(request: CallerRequest, decision: RequestDecision) {
        val elapsedMs = monotonicMs() - request.arrivedMs
        val log = if (isSuccess(decision, elapsedMs)) successes else problems
        log.write { LogEntry("request ${decision.outcome.text}", fields(request, decision, elapsedMs)) }
    }

    private fun isSuccess(decision: RequestDecision, elapsedMs: Long): Boolean =
        decision.outcome == FinalOutcome.ANSWERED &&
            decision.status < FIRST_SERVER_ERROR &&
            elapsedMs <= (decision.rule?.objectiveMs ?: 0) &&
            decision.call?.trace?.size == 1

    private fun fields(request: CallerRequest, decision: RequestDecision, elapsedMs: Long): Map<String, Any> =
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
            decision.retryDelayMs?.let { put("returnMs", it) }
            put("configuration", configurationVersion())
            decision.call?.let { put("attempts", it.trace) }
        }

    private companion object {
        const val SUCCESS_LINES_PER_SECOND = 20
        const val PROBLEM_LINES_PER_SECOND = 50
        const val FIRST_SERVER_ERROR = 500
    }
}
