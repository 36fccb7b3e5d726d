package org.endivestep.ingress

import org.endivestep.document.Document
import org.endivestep.document.Kind
import org.endivestep.document.RouteRule
import org.endivestep.document.Service
import org.endivestep.exchange.Deadline
import org.endivestep.exchange.MessageHeaders
import org.endivestep.exchange.RequestRank
import org.endivestep.exchange.forwarded
import org.endivestep.exchange.monotonicMs
import org.endivestep.identity.AttemptId
import org.endivestep.identity.Fingerprint
import org.endivestep.identity.RequestId
import org.endivestep.identity.ServiceName
import org.endivestep.identity.TeamName
import org.endivestep.identity.randomId
import org.endivestep.metrics.FinalOutcome
import org.endivestep.metrics.OutcomeCounters
import org.endivestep.metrics.OutcomeLabel
import org.endivestep.outcome.AttemptResult
import org.endivestep.outcome.HeaderField
import org.endivestep.outcome.NotRunReason
import org.endivestep.outcome.UnknownReason
import org.endivestep.outcome.status
import org.endivestep.quota.QuotaGate
import org.endivestep.quota.noQuota
import java.math.BigDecimal
import java.util.concurrent.atomic.AtomicInteger

/** Returns the delay in ms after which a caller should retry a refused request. */
internal typealias RetryDelay = (RouteRule?, NotRunReason, remainingMs: Long) -> Long

/**
 * Serves callers whose requests are routed by host and path. Each request ends with the worker's complete
 * answer, a refusal that guarantees it did not run, or a status that leaves open whether it ran.
 */
internal class RoutedIngress(
    private val callerService: ServiceName,
    private val headers: MessageHeaders,
    private val document: () -> Document?,
    private val weights: WeightedChoice,
    private val dispatch: (IncomingCall, AttemptId) -> AttemptResult,
    private val retryDelay: RetryDelay,
    private val counters: OutcomeCounters,
    /** Whether the configuration in force here is known to be recent enough for its keys to be accepted. */
    private val keysAreCurrent: () -> Boolean = { true },
    private val admitByQuota: QuotaGate = noQuota,
    configurationVersion: () -> Long,
) {
    private val log = RequestLog(headers, configurationVersion)
    private val active = AtomicInteger()
    private val recentRefusals = RecentRefusals()
    private val replacedNames = setOf(headers.callerService, headers.deadlineMs, headers.expectedWorker).map { it.lowercase() }.toSet()
    private val identityNames = setOfNotNull(headers.credentials, headers.team).map { it.lowercase() }.toSet()

    @Volatile
    private var endMs = Long.MAX_VALUE

    /** Requests that have not been answered yet. */
    val activeCount: Int get() = active.get()

    /** Request log lines dropped because of the rate limits. */
    val logLinesLeftOut: Long get() = log.linesLeftOut

    /** Refuses from now on each request whose deadline is after [untilMs], when this daemon exits. */
    fun endAt(untilMs: Long) {
        endMs = untilMs
    }

    /** Answers [request]; blocks. Throws [InterruptedException] when the caller disconnects. */
    fun answer(request: CallerRequest): CallerReply {
        active.incrementAndGet()
        try {
            return route(request)
        } finally {
            active.decrementAndGet()
        }
    }

    /** Whether a worker is known for one of the services to which [request] is routed; also true for what no route matches. */
    fun canServe(request: CallerRequest, hasWorker: (ServiceName) -> Boolean): Boolean {
        val routes = document()?.routes ?: return false
        val rule = routes.find(host(request), request.path) ?: return true
        return rule.destinations.any { hasWorker(it.service) }
    }

    /** Whether [request] may run while other requests of its connection run: only one that may be repeated, by its route. */
    fun mayOverlap(request: CallerRequest): Boolean = document()?.routes?.find(host(request), request.path)?.semantics?.idempotent == true

    private fun route(request: CallerRequest): CallerReply {
        val requestId = request.header(headers.requestId).orEmpty()
        // Asked before the configuration is read: a later answer could be about a later configuration than the one that is read.
        val isCurrent = keysAreCurrent()
        val current = document() ?: return refusal(request, null, NotRunReason.NO_CONFIGURATION)
        val rule =
            current.routes.find(host(request), request.path)
                ?: return refusal(request, null, NotRunReason.NO_ROUTE)
        val identity = callerIdentity(current.teams, rule, request, headers.credentials)
        keyRefusal(identity, isCurrent)?.let { return refusal(request, rule, it) }
        val service =
            current.services[weights.choose(rule)]
                ?: return refusal(request, rule, NotRunReason.UNKNOWN_SERVICE)
        // The answer to a request without an id could not be attributed to it.
        if (requestId.isBlank()) return refusal(request, rule, NotRunReason.BAD_REQUEST)
        val deadline = Deadline(sentMs(request, rule) + minOf(deadlineMs(request, rule), rule.timeoutMs))
        if (deadline.remainingMs(monotonicMs()) <= 0) return refusal(request, rule, NotRunReason.DEADLINE_PASSED)
        if (deadline.atMs > endMs) return refusal(request, rule, NotRunReason.LEAVING)
        val call = call(request, rule, service, requestId, deadline, identity)
        val limited =
            try {
                withinQuota(admitByQuota, call.rank.team, deadline) { dispatch(call, AttemptId(randomId())) }
            } catch (e: InterruptedException) {
                log.writeAbandoned(request, call, rule)
                throw e
            }
        val result = limited.result
        // A team over its limit must not gain the precedence of repeated requests.
        if (limited.retryAfterMs != null) return refusal(request, rule, NotRunReason.QUOTA_EXCEEDED, call, limited.retryAfterMs)
        if (result is AttemptResult.NotRun) synchronized(recentRefusals) { recentRefusals.record(call.fingerprint, request.arrivedMs) }
        return reply(request, rule, call, result)
    }

    // Without a recent proof, a key that is not known may be new, so it is not refused for good.
    private fun keyRefusal(identity: CallerIdentity, isCurrent: Boolean): NotRunReason? =
        when (identity) {
            CallerIdentity.NotConfigured, CallerIdentity.Anonymous -> null
            is CallerIdentity.Member -> NotRunReason.CONFIGURATION_STALE.takeUnless { isCurrent }
            is CallerIdentity.Refused ->
                if (identity.bearsKey && !isCurrent) NotRunReason.CONFIGURATION_STALE else NotRunReason.UNAUTHORIZED
        }

    private fun deadlineMs(request: CallerRequest, rule: RouteRule): Long =
        request.header(headers.deadlineMs)?.toLongOrNull() ?: rule.timeoutMs

    private fun sentMs(request: CallerRequest, rule: RouteRule): Long = request.sentMs(deadlineMs(request, rule))

    private fun host(request: CallerRequest): String = request.header("Host").orEmpty().substringBefore(':').lowercase()

    private fun call(
        request: CallerRequest,
        rule: RouteRule,
        service: Service,
        requestId: String,
        deadline: Deadline,
        identity: CallerIdentity,
    ): IncomingCall {
        val team = (identity as? CallerIdentity.Member)?.team
        val fingerprint = fingerprint(request, service, team?.name)
        val firstMs = synchronized(recentRefusals) { recentRefusals.firstArrivalMs(fingerprint, request.arrivedMs) }
        return IncomingCall(
            id = RequestId(requestId),
            service = service,
            kind = Kind(rule.name, setOf(request.method), rule.pathPrefix, rule.semantics, rule.objectiveMs, rule.timeoutMs, weight = 1),
            method = request.method,
            path = request.target,
            headers = forwardedHeaders(request, identity),
            body = request.body,
            startMs = request.arrivedMs,
            deadline = deadline,
            idempotencyKey = null,
            fingerprint = fingerprint,
            maxAttempts = rule.maxAttempts,
            rank =
            RequestRank(
                team?.priority ?: rule.priority,
                (firstMs ?: sentMs(request, rule)) + rule.objectiveMs,
                repeated = firstMs != null,
                team = team?.name,
            ),
            cancellation = request.cancellation,
            lease = request.lease,
            sentMs = sentMs(request, rule),
        )
    }

    private fun forwardedHeaders(request: CallerRequest, identity: CallerIdentity): List<HeaderField> {
        val replaced = if (identity == CallerIdentity.NotConfigured) replacedNames else replacedNames + identityNames
        val kept = request.headers.forwarded().filterNot { it.name.lowercase() in replaced }
        return kept + listOfNotNull(HeaderField(headers.callerService, callerService.text), teamField(identity))
    }

    private fun teamField(identity: CallerIdentity): HeaderField? {
        val team = (identity as? CallerIdentity.Member)?.team ?: return null
        return headers.team?.let { HeaderField(it, team.name.text) }
    }

    private fun reply(request: CallerRequest, rule: RouteRule, call: IncomingCall, result: AttemptResult): CallerReply =
        when (result) {
            is AttemptResult.Answered -> {
                record(request, RequestOutcome(FinalOutcome.ANSWERED, result.head.status, "", rule, call))
                counters.time(call.service.name.text, monotonicMs() - request.arrivedMs)
                CallerReply(result.head.status, result.head.headers.forwarded(), result.body, result.head.contentLength)
            }
            is AttemptResult.NotRun -> refusal(request, rule, result.reason, call)
            is AttemptResult.Unknown -> failure(request, call, rule, result.reason)
        }

    private fun refusal(
        request: CallerRequest,
        rule: RouteRule?,
        reason: NotRunReason,
        call: IncomingCall? = null,
        retryAfterMs: Long? = null,
    ): CallerReply {
        val deadlineMs = request.header(headers.deadlineMs)?.toLongOrNull() ?: 0
        val remainingMs = request.sentMs(deadlineMs) + deadlineMs - monotonicMs()
        val status = if (reason in callerErrors) reason.status() else NOT_RUN_STATUS
        val retryDelayMs = retryAfterMs ?: retryDelay(rule, reason, remainingMs)
        record(request, RequestOutcome(FinalOutcome.NOT_RUN, status, reason.text, rule, call, retryDelayMs))
        val seconds = BigDecimal.valueOf(retryDelayMs, DIGITS_OF_MS).toPlainString()
        return emptyReply(status, echoedHeaders(request) + challenge(reason) + HeaderField(headers.retryAfter, seconds))
    }

    // RFC 9110, section 15.5.2: a response with status 401 must name the scheme.
    private fun challenge(reason: NotRunReason): List<HeaderField> =
        if (reason == NotRunReason.UNAUTHORIZED) listOf(HeaderField("WWW-Authenticate", CREDENTIALS_SCHEME)) else emptyList()

    private fun failure(request: CallerRequest, call: IncomingCall, rule: RouteRule, reason: UnknownReason): CallerReply {
        val status = if (reason == UnknownReason.TIMEOUT) TIMEOUT_STATUS else FAILURE_STATUS
        record(request, RequestOutcome(FinalOutcome.UNKNOWN, status, reason.text, rule, call))
        return emptyReply(status, echoedHeaders(request))
    }

    private fun record(request: CallerRequest, result: RequestOutcome) {
        val service = result.rule?.destinations?.first()?.service?.text.orEmpty()
        counters.count(OutcomeLabel(service, result.rule?.name?.text.orEmpty(), result.outcome, result.reason))
        log.write(request, result)
    }

    private fun echoedHeaders(request: CallerRequest): List<HeaderField> =
        listOfNotNull(request.header(headers.requestId)?.let { HeaderField(headers.requestId, it) })

    // A repeated request has another id; everything else that the worker sees is the same.
    private fun fingerprint(request: CallerRequest, service: Service, team: TeamName?): Fingerprint {
        val origin = RequestOrigin(service.name.text, host(request), callerService.text, idempotencyKey = "", team?.text.orEmpty())
        return requestFingerprint(request.method, request.target, request.body, origin)
    }

    private companion object {
        val callerErrors =
            setOf(NotRunReason.NO_ROUTE, NotRunReason.BAD_REQUEST, NotRunReason.UNAUTHORIZED, NotRunReason.QUOTA_EXCEEDED)
        const val NOT_RUN_STATUS = 503
        const val FAILURE_STATUS = 502
        const val TIMEOUT_STATUS = 504

        // Three decimal places of a second express whole milliseconds.
        const val DIGITS_OF_MS = 3
    }
}
