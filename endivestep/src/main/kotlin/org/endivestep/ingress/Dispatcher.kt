package org.endivestep.ingress

import org.endivestep.choice.Candidate
import org.endivestep.choice.ChoicePolicy
import org.endivestep.choice.RequestTraits
import org.endivestep.choice.WorkerLoads
import org.endivestep.exchange.AttemptRequest
import org.endivestep.exchange.monotonicMs
import org.endivestep.identity.AttemptId
import org.endivestep.identity.ServiceName
import org.endivestep.identity.VmName
import org.endivestep.identity.WorkerVersion
import org.endivestep.identity.randomId
import org.endivestep.metrics.HedgeEvent
import org.endivestep.outcome.AttemptResult
import org.endivestep.outcome.NotRunReason
import org.endivestep.outcome.UnknownReason
import org.endivestep.retry.NextStep
import org.endivestep.retry.RetryBudgets
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
    /** Sends second attempts while the first one runs; null when there are none. */
    private val hedging: Hedging? = null,
    private val attempt: AttemptCall,
) {
    private val budgets = RetryBudgets()

    /**
     * Runs [call] with [firstAttempt] as the id of its first attempt, until its outcome is final. Throws [InterruptedException]
     * when the caller has left.
     */
    fun dispatch(call: IncomingCall, firstAttempt: AttemptId): AttemptResult {
        val history = AttemptHistory()
        hedging?.noteRequest(call)
        var attemptId = firstAttempt
        while (true) {
            // What has come is read before a request is sent that waited here.
            val isDelayed = !call.lease.renewIfOld()
            val windowMs = sendWindowMs(call)
            val refusal = if (isDelayed) NotRunReason.DELAYED else refusal(call, windowMs)
            if (refusal != null) return history.outcome() ?: AttemptResult.NotRun(refusal)
            val route = chooseRoute(call, history) ?: return history.outcome() ?: AttemptResult.NotRun(NotRunReason.NO_WORKER)
            val repliedBefore = history.workerReplied
            val maxWaitMs = minOf(maxWaitMs(call, history), windowMs)
            val result = attemptOn(route, request(call, attemptId, maxWaitMs) { reserveRepeat(call, history, route) }, call, history)
            if (result.isRefusedVersion()) history.noteRefusedVersion(route.version)
            call.trace = history.trace
            if (!continues(result, call, history, repliedBefore)) return checkNotNull(history.outcome())
            attemptId = AttemptId(randomId())
        }
    }

    /** Whether another attempt follows the one that ended with [result]; if so, the retry budget has paid for it where it must. */
    private fun continues(result: AttemptResult, call: IncomingCall, history: AttemptHistory, repliedBefore: Boolean): Boolean {
        if (call.replayable && shouldReroute(result, history)) {
            history.reroutes++
            return true
        }
        if (history.workerReplied && !repliedBefore) budgets.noteReplied(call.service)
        if (nextStep(result, facts(call, history)) == NextStep.FINISH) return false
        if (!consumesBudget(result) || history.takePaidRepeat() || budgets.trySpend(call.service)) return true
        history.noteBudgetExhausted()
        return false
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
        return chooseAmong(untriedRoutes(call, history), call)
    }

    private fun untriedRoutes(call: IncomingCall, history: AttemptHistory, current: Route? = null): List<Route> {
        val untried = lookup(call.service.name).filterNot { history.wasTried(it.candidate.vm) || it.candidate.vm == current?.candidate?.vm }
        return selectVersion(call.service.name, untried, history.refusedVersions)
    }

    private fun chooseAmong(routes: List<Route>, call: IncomingCall): Route? {
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

    private fun attemptOn(route: Route, request: AttemptRequest, call: IncomingCall, history: AttemptHistory): AttemptResult {
        val delayMs = if (mayHedge(call, history)) hedging?.delayMs(call) else null
        if (hedging != null && delayMs != null) return attemptTwice(hedging, delayMs, route, request, call, history)
        val startMs = monotonicMs()
        val result = tryOnce(route, request)
        val elapsedMs = monotonicMs() - startMs
        if (result.hasTime()) hedging?.noteResponse(call, elapsedMs)
        history.add(route.candidate.vm, result, elapsedMs)
        return result
    }

    // The attempt that runs and the second one must both be within the attempts of the route; a request is hedged once.
    private fun mayHedge(call: IncomingCall, history: AttemptHistory): Boolean =
        hedging != null && !history.wasHedged && history.count - history.reroutes + 2 <= call.maxAttempts

    private fun attemptTwice(
        hedging: Hedging,
        delayMs: Long,
        route: Route,
        request: AttemptRequest,
        call: IncomingCall,
        history: AttemptHistory,
    ): AttemptResult {
        val run = HedgedRun(route, call.cancellation)
        // The history belongs to this thread, and the second attempt is chosen on another one.
        val excluded = history.triedVms() + route.candidate.vm
        val pending = hedging.schedule(delayMs) { startSecond(hedging, run, call, excluded) }
        val ended =
            try {
                run.run { first -> tryOnce(route, request.withCancellation(first.cancellation), first) }
            } finally {
                pending.cancel(false)
            }
        noteFirst(hedging, call, route, ended)
        record(history, ended)
        countEnd(hedging, route, ended)
        return checkNotNull(ended.chosen.result)
    }

    private fun record(history: AttemptHistory, ended: HedgedResult) {
        ended.other?.let { history.addOther(it.route.candidate.vm, it.result, it.elapsedMs) }
        history.add(ended.chosen.route.candidate.vm, checkNotNull(ended.chosen.result), ended.chosen.elapsedMs)
    }

    private fun noteFirst(hedging: Hedging, call: IncomingCall, route: Route, ended: HedgedResult) {
        val first = if (ended.chosen.route === route) ended.chosen else ended.other ?: return
        when {
            first.result == null -> hedging.noteUnfinished(call, first.elapsedMs)
            first.result.hasTime() -> hedging.noteResponse(call, first.elapsedMs)
        }
    }

    private fun countEnd(hedging: Hedging, route: Route, ended: HedgedResult) {
        if (ended.other == null) return
        if (ended.chosen.route !== route && ended.chosen.result is AttemptResult.Answered) hedging.count(HedgeEvent.WON)
        if (ended.other.route !== route && ended.other.result == null) hedging.count(HedgeEvent.CANCELLED)
    }

    // Runs on the thread of the timer, so it must not block.
    private fun startSecond(hedging: Hedging, run: HedgedRun, call: IncomingCall, excluded: Set<VmName>) {
        if (!hedging.mayStart(call) || refusal(call, sendWindowMs(call)) != null) return
        val route = chooseSecond(hedging, run, call, excluded) ?: return hedging.count(HedgeEvent.REFUSED_WORKER)
        val isPaid = hedging.trySpend(call) { budgets.trySpend(call.service) }
        if (!isPaid) hedging.count(HedgeEvent.REFUSED_BUDGET)
        if (!isPaid || !run.claimSecond(route)) return endUnsent(route, call)
        val request = request(call, AttemptId(randomId()), maxWaitMs = 0) { false }
        val started =
            hedging.run {
                run.runSecond { second -> tryOnce(route, request.withCancellation(second.cancellation), second, isSecond = true) }
            }
        if (started) return hedging.count(HedgeEvent.SENT)
        endUnsent(route, call)
        run.skipSecond()
    }

    private fun endUnsent(route: Route, call: IncomingCall) =
        synchronized(loads) { loads.end(route.candidate.vm, call.kind.name, load = null, workerMs = null) }

    // Only workers with room are candidates: under overload there is no second attempt.
    private fun chooseSecond(hedging: Hedging, run: HedgedRun, call: IncomingCall, excluded: Set<VmName>): Route? {
        val kind = call.kind.name
        val elapsedMs = run.elapsedMs
        val routes =
            selectVersion(call.service.name, lookup(call.service.name), emptySet()).filter { route ->
                val vm = route.candidate.vm
                val secondMs = if (vm in excluded) null else synchronized(loads) { hedging.secondMs(vm, kind) }
                secondMs != null && hedging.helps(call, elapsedMs, secondMs)
            }
        return chooseAmong(routes, call)
    }

    /**
     * Runs [request] at the worker of [route] until the start of its answer has arrived; [run] is set when another attempt of the
     * request may run beside it.
     */
    private fun tryOnce(route: Route, request: AttemptRequest, run: CancellableRun? = null, isSecond: Boolean = false): AttemptResult {
        val vm = route.candidate.vm
        val startMs = monotonicMs()
        var result: AttemptResult? = null
        var workerMs: Long? = null
        try {
            result = attempt(route, request)
            // The time until the head is the worker's; what follows it also depends on the way from its daemon.
            workerMs = monotonicMs() - startMs
            if (result is AttemptResult.Answered) result = result.awaitStart(request.deadline)
            return result
        } finally {
            val isReplaced = run?.isReplaced == true
            // A second attempt that was cancelled early says nothing about the time that its worker takes.
            val hasTime = result !is AttemptResult.NotRun && !(isReplaced && isSecond)
            synchronized(loads) {
                loads.end(vm, request.kind, result?.load, if (hasTime) workerMs ?: (monotonicMs() - startMs) else null)
                if (!isReplaced && (result == null || shouldAvoid(result))) loads.avoid(vm, AVOID_MS)
            }
        }
    }

    // Whether the time of an attempt tells how long responses take.
    private fun AttemptResult.hasTime(): Boolean =
        this is AttemptResult.Answered || (this is AttemptResult.Unknown && reason == UnknownReason.TIMEOUT)

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

    // Called on the thread of the call, while the attempt at [current] runs, which is not in the history yet.
    private fun reserveRepeat(call: IncomingCall, history: AttemptHistory, current: Route): Boolean {
        val facts = facts(call, history).let { it.copy(attempts = it.attempts + 1, remainingMs = it.remainingMs - MIN_REPEAT_MS) }
        val isAllowed = nextStep(AttemptResult.Unknown(UnknownReason.NO_RESPONSE), facts) != NextStep.FINISH
        if (!isAllowed || refusal(call, sendWindowMs(call)) != null || untriedRoutes(call, history, current).isEmpty()) return false
        return budgets.trySpend(call.service).also { history.repeatIsPaid = it }
    }

    private fun request(call: IncomingCall, attemptId: AttemptId, maxWaitMs: Long, reserveRepeat: () -> Boolean) =
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
            lease = call.lease,
            reserveRepeat = reserveRepeat,
        )

    private companion object {
        val noRerouting = RerouteSettings(maxReroutes = 0, maxWaitMs = Long.MAX_VALUE)
        val reroutableReasons =
            unreachableReasons + setOf(NotRunReason.OVERLOADED, NotRunReason.QUEUE_TIMEOUT, NotRunReason.COLD, NotRunReason.DELAYED)
        const val AVOID_MS = 1_000L

        /** Time in ms without which an attempt is not given up for another one. */
        const val MIN_REPEAT_MS = 100L
    }
}
