package org.endivestep.emulator

import java.util.concurrent.TimeUnit

/**
 * Compares what callers and workers saw with the promises to them. The bounds are those of the platform's rules, each lengthened by
 * the time in which this process itself did not run.
 */
internal class SoakRules(private val history: SoakHistory, private val runs: Map<PlatformNode, Collection<WorkerRun>>) {
    private val runsById = runs.values.flatten().groupBy { it.requestId }

    /** Returns a line for each broken promise, which begins with the name of the rule. */
    fun findings(): List<String> {
        val requests = history.requests.sortedBy { it.startNanos }
        val byId = requests.associateBy { it.id }
        return history.findings +
            requests.mapNotNull(::mixed) +
            requests.mapNotNull(::ranTwice) +
            requests.mapNotNull(::refusedButRan) +
            requests.mapNotNull(::lost) +
            requests.mapNotNull(::outdated) +
            unanswered(requests) +
            requests.groupBy { it.node to history.daemonRun(it.node, it.startNanos) }.values.flatMap(::regressed) +
            runsById.values.flatten().mapNotNull { unasked(it, byId[it.requestId]) }
    }

    private fun mixed(request: SoakRequest): String? {
        val answer = request.ending as? Ending.Answered ?: return null
        val problem = foreignAnswer(request, answer) ?: if (request.succeeded) badSuccess(request, answer) else badFailure(request, answer)
        return problem?.let { "MIXED: ${describe(request)} got $it" }
    }

    private fun foreignAnswer(request: SoakRequest, answer: Ending.Answered): String? {
        val echoed = answer.message.header("X-Request-Id")
        val signature = answer.message.header("X-Server-Stamp")
        return when {
            echoed != null && echoed != request.id -> "the answer to $echoed"
            signature != null && signature != AnswerContent.signature(request.id) -> "the signature of another request"
            else -> null
        }
    }

    private fun badSuccess(request: SoakRequest, answer: Ending.Answered): String? =
        when {
            answer.message.header("X-Server-Stamp") == null -> "a success without a signature"
            !answer.message.body.contentEquals(AnswerContent.of(request.id)) -> "a body that is not the worker's"
            runsOf(request).all { it.fault == AnswerFault.SERVER_ERROR } -> "a success that no worker answered"
            else -> null
        }

    private fun badFailure(request: SoakRequest, answer: Ending.Answered): String? {
        val isWorkers = answer.status == 500 && runsOf(request).any { it.fault == AnswerFault.SERVER_ERROR }
        return if (answer.message.header("X-Server-Stamp") != null && !isWorkers) "a failure that bears a worker's signature" else null
    }

    private fun ranTwice(request: SoakRequest): String? =
        if (!request.isIdempotent && runsOf(request).size > 1) "TWICE: ${describe(request)}" else null

    private fun refusedButRan(request: SoakRequest): String? {
        val status = (request.ending as? Ending.Answered)?.status
        return if (status in promisingStatuses && runsOf(request).isNotEmpty()) "REFUSED: ${describe(request)}" else null
    }

    // While a daemon is stopped as planned, none may cut a request that it has read, or answer in place of the worker that runs it.
    private fun lost(request: SoakRequest): String? {
        val fromNanos = request.startNanos - CONTACT_NANOS
        if (!history.isStopping(request.endNanos, GRACE_NANOS + SECOND_NANOS)) return null
        if (history.disturbances.any { !it.isPlanned && !it.affectsStore && it.overlaps(fromNanos, request.endNanos) }) return null
        val ownRuns = runsOf(request)
        if (ownRuns.any { it.isSpoilt }) return null
        val elapsedNanos = request.endNanos - request.sentNanos
        val slackNanos = LOSS_SLACK_NANOS + history.stalledNanos(request.sentNanos, request.endNanos)
        val ending = request.ending
        val isLost =
            when (ending) {
                is Ending.Cut -> ownRuns.isNotEmpty() || elapsedNanos > slackNanos
                is Ending.Answered -> ending.status in setOf(502, 504) && ownRuns.isNotEmpty() && elapsedNanos < DEADLINE_NANOS
                else -> false
            }
        return if (isLost) "LOST: ${describe(request)}" else null
    }

    /** Requests that last longer than their time are answered all the same; a few may be late. */
    private fun unanswered(requests: List<SoakRequest>): List<String> {
        val lasting = requests.filter { it.endNanos - it.sentNanos >= DEADLINE_NANOS && !isDisturbed(it) }
        val missing = lasting.filter { it.ending == Ending.TimedOut && history.stalledNanos(it.sentNanos, it.endNanos) == 0L }
        if (missing.size < MIN_UNANSWERED || missing.size * UNANSWERED_ONE_IN <= lasting.size) return emptyList()
        return listOf(
            "CONFIG: ${missing.size} of ${lasting.size} requests that lasted have no answer, the first: ${describe(missing.first())}",
        )
    }

    private fun outdated(request: SoakRequest): String? {
        val written = history.configurations
        val isDisturbed = isDisturbed(request)
        val boundNanos = APPLY_NANOS + history.stalledNanos(request.startNanos - APPLY_NANOS, request.endNanos)
        val oldest = written.indexOfLast { it.acknowledgedNanos < request.startNanos - boundNanos }.coerceAtLeast(0)
        val inForce = (if (isDisturbed) 0 else oldest)..written.indexOfLast { it.startNanos <= request.endNanos }
        if (inForce.any { isHandledAs(it, request) }) return null
        return "CONFIG: ${describe(request)} is not handled as one of the configurations $inForce allows" +
            if (isDisturbed) " (disturbed)" else ""
    }

    /** Compares requests of one run of a daemon: none may be handled as only an older configuration allows than one seen before. */
    private fun regressed(requests: List<SoakRequest>): List<String> {
        val effects = requests.filter { runsOf(it).isNotEmpty() }.sortedBy { firstRunNanos(it) }
        var newestSeen = 0
        var next = 0
        return requests.mapNotNull { request ->
            val boundNanos = if (isDisturbed(request)) DISTURBED_ROLLBACK_SLACK_NANOS else ROLLBACK_SLACK_NANOS
            val slackNanos = boundNanos + history.stalledNanos(request.startNanos - boundNanos, request.endNanos)
            while (next < effects.size && firstRunNanos(effects[next]) < request.startNanos - slackNanos) {
                newestSeen = maxOf(newestSeen, oldestPossible(effects[next]))
                next++
            }
            val newestPossible = history.configurations.indices.lastOrNull { isHandledAs(it, request) } ?: return@mapNotNull null
            if (newestPossible < newestSeen) "CONFIG: ${describe(request)} is older than configuration $newestSeen, seen before" else null
        }
    }

    private fun oldestPossible(request: SoakRequest): Int = history.configurations.indices.firstOrNull { isHandledAs(it, request) } ?: 0

    /** Whether the daemon that took [request], or the store, was disturbed then or shortly before. */
    private fun isDisturbed(request: SoakRequest): Boolean {
        val fromNanos = request.startNanos - CONTACT_NANOS
        return history.disturbances.any { (it.affectsStore || request.node in it.nodes) && it.overlaps(fromNanos, request.endNanos) }
    }

    /** Whether the configuration [number] allows what is known of the end of [request]. */
    private fun isHandledAs(number: Int, request: SoakRequest): Boolean {
        val service = SoakConfiguration.service(number, request.path)
        val isNotFound = (request.ending as? Ending.Answered)?.status == 404
        return if (isNotFound) service == null else runsOf(request).all { it.service == service }
    }

    private fun unasked(run: WorkerRun, request: SoakRequest?): String? {
        val problem =
            when {
                request == null -> "no caller sent it"
                run.target != "${request.method} ${request.path}" -> "it was sent as ${request.method} ${request.path}"
                run.bodyDigest != request.bodyDigest -> "its body was changed"
                run.caller != request.node.service -> "it came from a caller of ${request.node.service}, not ${run.caller}"
                else -> return null
            }
        return "UNASKED: the request ${run.requestId} was run as ${run.target}, but $problem"
    }

    private fun runsOf(request: SoakRequest): List<WorkerRun> = runsById[request.id].orEmpty()

    private fun firstRunNanos(request: SoakRequest): Long = runsOf(request).minOf { it.startNanos }

    private fun describe(request: SoakRequest): String {
        val ending = request.ending
        val end =
            when (ending) {
                is Ending.Answered -> "answered with ${ending.status}"
                is Ending.Cut -> "cut (${ending.cause})"
                Ending.TimedOut -> "not answered"
                Ending.NotSent -> "not sent"
            }
        val ownRuns = runsOf(request).joinToString { "${it.service} as ${it.fault ?: "usual"}" }
        val sinceMs = TimeUnit.NANOSECONDS.toMillis(request.startNanos - history.configurations.first().startNanos)
        val tookMs = TimeUnit.NANOSECONDS.toMillis(request.endNanos - request.startNanos)
        return "${request.method} ${request.path} at ${request.node.vm}, sent at $sinceMs ms, $end after $tookMs ms, run by [$ownRuns],"
    }

    private companion object {
        /** Statuses that promise that the request has not run and never will. */
        val promisingStatuses = setOf(408, 421, 429, 503)

        const val MIN_UNANSWERED = 8
        const val UNANSWERED_ONE_IN = 4

        val SECOND_NANOS = TimeUnit.SECONDS.toNanos(1)
        val DEADLINE_NANOS = TimeUnit.MILLISECONDS.toNanos(SoakCaller.DEADLINE_MS.toLong())

        /** A rule with a bound holds for a daemon that was not disturbed for this long. */
        val CONTACT_NANOS = TimeUnit.SECONDS.toNanos(3)

        /** Time after its acknowledgement until which a configuration is in force. */
        val APPLY_NANOS = TimeUnit.SECONDS.toNanos(2)
        val DISTURBED_ROLLBACK_SLACK_NANOS = TimeUnit.SECONDS.toNanos(2)
        val ROLLBACK_SLACK_NANOS = TimeUnit.MILLISECONDS.toNanos(250)
        val LOSS_SLACK_NANOS = TimeUnit.MILLISECONDS.toNanos(200)
        val GRACE_NANOS = TimeUnit.SECONDS.toNanos(6)
    }
}
