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
internal class RequestOutcome(
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

    fun write(request: CallerRequest, result: RequestOutcome) {
        val elapsedMs = monotonicMs() - request.arrivedMs
        val log = if (isSuccess(result, elapsedMs)) successes else problems
        log.write { LogEntry("request ${result.outcome.text}", fields(request, result, elapsedMs)) }
    }

    /** Writes the line of [request], whose caller left before an answer to it began; [call] is what was sent to a worker. */
    fun writeAbandoned(request: CallerRequest, call: IncomingCall, rule: RouteRule) {
        val result = RequestOutcome(FinalOutcome.UNKNOWN, status = 0, reason = "", rule = rule, call = call)
        problems.write { LogEntry("request abandoned by its caller", fields(request, result, monotonicMs() - request.arrivedMs)) }
    }

    private fun isSuccess(result: RequestOutcome, elapsedMs: Long): Boolean =
        result.outcome == FinalOutcome.ANSWERED &&
            result.status < FIRST_SERVER_ERROR &&
            elapsedMs <= (result.rule?.objectiveMs ?: 0) &&
            result.call?.trace?.size == 1

    private fun fields(request: CallerRequest, result: RequestOutcome, elapsedMs: Long): Map<String, Any> =
        buildMap {
            put("request", request.header(headers.requestId).orEmpty())
            put("status", result.status)
            if (result.reason.isNotEmpty()) put("reason", result.reason)
            put("route", result.rule?.name?.text ?: "none for ${request.header("Host")}${request.target}")
            result.call?.let { put("service", it.service.name.text) }
            if (result.outcome != FinalOutcome.ANSWERED) result.call?.let { put("fingerprint", it.fingerprint.text) }
            put("elapsedMs", elapsedMs)
            putAll(times(request, result.call))
            put("deadlineMs", request.header(headers.deadlineMs).orEmpty())
            result.rule?.let { put("objectiveMs", it.objectiveMs) }
            result.rule?.let { put("timeoutMs", it.timeoutMs) }
            result.rule?.let { put("priority", result.call?.rank?.priority ?: it.priority) }
            result.call?.rank?.team?.let { put("team", it.text) }
            result.retryDelayMs?.let { put("returnMs", it) }
            put("configuration", configurationVersion())
            result.call?.let { put("attempts", it.trace) }
        }

    // Where the time of the request went; see docs/OPERATIONS.md.
    private fun times(request: CallerRequest, call: IncomingCall?): Map<String, Long> =
        buildMap {
            put("readDelayMs", request.readDelayMs)
            call?.let { put("countedMs", request.arrivedMs - it.sentMs) }
            request.cancellation.cancelledMs?.let { put("leftMs", it - request.arrivedMs) }
            call?.let { put("dispatchedMs", it.dispatchedMs - request.arrivedMs) }
        }

    private companion object {
        const val SUCCESS_LINES_PER_SECOND = 20
        const val PROBLEM_LINES_PER_SECOND = 50
        const val FIRST_SERVER_ERROR = 500
    }
}
