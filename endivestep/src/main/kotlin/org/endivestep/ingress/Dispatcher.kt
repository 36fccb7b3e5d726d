package org.endivestep.ingress

import org.endivestep.choice.Candidate
import org.endivestep.choice.ChoicePolicy
import org.endivestep.choice.RequestTraits
import org.endivestep.choice.WorkerLoads
import org.endivestep.document.RetrySettings
import org.endivestep.exchange.AttemptRequest
import org.endivestep.exchange.monotonicMs
import org.endivestep.identity.AttemptId
import org.endivestep.identity.ServiceName
import org.endivestep.identity.WorkerVersion
import org.endivestep.identity.randomId
import org.endivestep.outcome.AttemptResult
import org.endivestep.outcome.NotRunReason
import org.endivestep.retry.NextStep
import org.endivestep.retry.RetryBudget
import org.endivestep.retry.RetryFacts
import org.endivestep.retry.nextStep

/** Runs one attempt on the worker of a route. */
internal typealias AttemptCall = (Route, AttemptRequest) -> AttemptResult

/** Returns the current routes of a service. */
internal typealias RouteLookup = (ServiceName) -> List<Route>

/** Returns those of the routes that the next attempt may use, by version of the workers; the last argument are refused versions. */
internal typealias VersionSelection = (ServiceName, List<Route>, Set<WorkerVersion?>) -> List<Route>

/** Lets each attempt use every route. */
internal val everyRoute: VersionSelection = { _, routes, _ -> routes }

/**
 * Limits on rerouting: a request that a daemon refused before it reached a worker is sent to another daemon
 * at most [maxReroutes] times, in addition to its retries. While other workers are left, the request waits
 * for admission at most [maxWaitMs].
 */
internal data class RerouteSettings(val maxReroutes: Int, val maxWaitMs: Long)

private val unreachableReasons =
    setOf(
        NotRunReason.DAEMON_UNREACHABLE,
        NotRunReason.FENCED,
        NotRunReason.WORKER_UNREACHABLE,
        NotRunReason.LEAVING,
        NotRunReason.NO_WORKER,
        NotRunReason.DATA_CENTRE_OUT,
        NotRunReason.VERSION_NOT_PERMITTED,
    )

/** Chooses workers for a request and retries it within the retry budget of its service. Thread-safe. */
internal class Dispatcher(
    private val lookup: RouteLookup,
    private val loads: WorkerLoads,
    private val choose: ChoicePolicy,
    private val rerouting: RerouteSettings = noRerouting,
    /** Returns the time in ms during which a request may still be sent to a worker, see [StopTime]. */
    private val sendWindowMs: (IncomingCall) -> Long = { Long.MAX_VALUE },
    private val selectVersion: VersionSelection = everyRoute,
    /** Returns the reason why a request may no longer be sent to any worker, null when it may. */
    private val sendRefusal: (IncomingCall) -> NotRunReason? = { null },
    private val attempt: AttemptCall,
) {
    private val budgets = HashMap<ServiceName, RetryBudget>()

    /**
     * Runs [call] with [firstAttempt] as the id of its first attempt, until its outcome is final. Throws [InterruptedException]
     * when the caller has left.
     */
    fun dispatch(call: IncomingCall, firstAttempt: AttemptId): AttemptResult {
        val history = AttemptHistory()
        var attemptId = firstAttempt
        while (true) {
            val windowMs = sendWindowMs(call)
            refusal(call, windowMs)?.let { return history.outcome() ?: AttemptResult.NotRun(it) }
            val route = chooseRoute(call, history) ?: return history.outcome() ?: AttemptResult.NotRun(NotRunReason.NO_WORKER)
            val startMs = monotonicMs()
            val result = tryOnce(route, call, attemptId, minOf(maxWaitMs(call, history), windowMs))
            val repliedBefore = history.workerReplied
            history.add(route.candidate.vm, result, monotonicMs() - startMs)
            if (result.isRefusedVersion()) history.noteRefusedVersion(route.version)
            call.trace = history.trace
            if (call.replayable && shouldReroute(result, history)) {
                history.reroutes++
                attemptId = AttemptId(randomId())
                continue
            }
            if (history.workerReplied && !repliedBefore) withBudget(call) { it.noteReplied() }
            if (nextStep(result, facts(call, history)) == NextStep.FINISH) return checkNotNull(history.outcome())
            if (consumesBudget(result) && !withBudget(call) { it.trySpend() }) {
                history.noteBudgetExhausted()
                return checkNotNull(history.outcome())
            }
            attemptId = AttemptId(randomId())
        }
    }

    private fun refusal(call: IncomingCall, windowMs: Long): NotRunReason? =
        if (windowMs <= 0) NotRunReason.LEAVING else sendRefusal(call)

    private fun facts(call: IncomingCall, history: AttemptHistory) =
        RetryFacts(
            idempotent = call.kind.idempotent,
            replayable = call.replayable,
            attempts = history.count - history.reroutes,
            maxAttempts = call.maxAttempts,
            remainingMs = call.deadline.remainingMs(monotonicMs()),
        )

    private fun chooseRoute(call: IncomingCall, history: AttemptHistory): Route? {
        if (call.cancellation.isCancelled) throw InterruptedException("the caller has left")
        val untried = lookup(call.service.name).filterNot { history.wasTried(it.candidate.vm) }
        val routes = selectVersion(call.service.name, untried, history.refusedVersions)
        if (routes.isEmpty()) return null
        val chosen: Candidate =
            synchronized(loads) {
                choose(
                    RequestTraits(call.kind.name, call.bodyBytes, call.kind.deadlineMs),
                    routes.map {
                        it.candidate
                    },
                ).also { loads.begin(it.vm) }
            }
        return routes.first { it.candidate == chosen }
    }

    private fun AttemptResult.isRefusedVersion() = this is AttemptResult.NotRun && reason == NotRunReason.VERSION_NOT_PERMITTED

    private fun tryOnce(route: Route, call: IncomingCall, attemptId: AttemptId, maxWaitMs: Long): AttemptResult {
        val vm = route.candidate.vm
        val startMs = monotonicMs()
        var result: AttemptResult? = null
        try {
            result = attempt(route, request(call, attemptId, maxWaitMs))
            return result
        } finally {
            synchronized(loads) {
                loads.end(vm, call.kind.name, result?.load, if (result is AttemptResult.NotRun) null else monotonicMs() - startMs)
                if (result == null || shouldAvoid(result)) loads.avoid(vm, AVOID_MS)
            }
        }
    }

    // An attempt that reached no worker added no load, so retrying it elsewhere cannot amplify an overload.
    private fun consumesBudget(result: AttemptResult): Boolean = result !is AttemptResult.NotRun || result.reason !in unreachableReasons

    // For AVOID_MS, other workers are preferred over one that failed or could not be reached.
    private fun shouldAvoid(result: AttemptResult): Boolean =
        when (result) {
            is AttemptResult.Answered -> false
            is AttemptResult.Unknown -> true
            is AttemptResult.NotRun -> result.reason in unreachableReasons && !result.isRefusedVersion()
        }

    // A request that was refused before it reached a worker cost only the round trip, so it may be sent to another daemon.
    private fun shouldReroute(result: AttemptResult, history: AttemptHistory): Boolean =
        result is AttemptResult.NotRun && result.reason in reroutableReasons && history.reroutes < rerouting.maxReroutes

    // The wait for admission is limited while the request can still be rerouted to another worker.
    private fun maxWaitMs(call: IncomingCall, history: AttemptHistory): Long {
        val hasOtherWorkers = lookup(call.service.name).count { !history.wasTried(it.candidate.vm) } > 1
        return if (history.reroutes < rerouting.maxReroutes && hasOtherWorkers) rerouting.maxWaitMs else Long.MAX_VALUE
    }

    private fun request(call: IncomingCall, attemptId: AttemptId, maxWaitMs: Long) =
        AttemptRequest(
            requestId = call.id,
            attemptId = attemptId,
            service = call.service.name,
            kind = call.kind.name,
            method = call.method,
            path = call.path,
            headers = call.headers,
            body = call.body,
            deadline = call.deadline,
            fingerprint = call.fingerprint,
            rank = call.rank,
            maxWaitMs = maxWaitMs,
            cancellation = call.cancellation,
        )

    private fun <T> withBudget(call: IncomingCall, use: (RetryBudget) -> T): T =
        synchronized(budgets) {
            val settings: RetrySettings = call.service.retry
            val budget = budgets.getOrPut(call.service.name) { RetryBudget(settings) }
            budget.configure(settings)
            use(budget)
        }

    private companion object {
        val noRerouting = RerouteSettings(maxReroutes = 0, maxWaitMs = Long.MAX_VALUE)
        val reroutableReasons = unreachableReasons + setOf(NotRunReason.OVERLOADED, NotRunReason.QUEUE_TIMEOUT, NotRunReason.COLD)
        const val AVOID_MS = 1_000L
    }
}
