package org.endivestep.ingress

import org.endivestep.identity.VmName
import org.endivestep.identity.WorkerVersion
import org.endivestep.outcome.AttemptResult
import org.endivestep.outcome.Load
import org.endivestep.outcome.NotRunReason

/** Attempts made so far for one request. Not thread-safe. */
internal class AttemptHistory {
    private val tried = mutableSetOf<VmName>()
    private var last: AttemptResult? = null
    private var unknown: AttemptResult.Unknown? = null

    /** Versions of workers that daemons refused to use for this request, because of a roll-out. */
    var refusedVersions: Set<WorkerVersion?> = emptySet()
        private set

    /** Number of attempts that were refused before they reached a worker and were rerouted to another daemon. */
    var reroutes = 0

    /** Whether the retry budget has already paid for the next attempt. */
    var repeatIsPaid = false

    /** Whether a worker replied to an attempt, with an answer or with its own refusal. */
    var workerReplied = false
        private set

    /** One entry for each attempt: its VM, its result and its duration in ms; then why no other attempt followed. */
    val trace = mutableListOf<String>()

    /** Whether two attempts ran at the same time. */
    var wasHedged = false
        private set

    val count: Int get() = tried.size

    fun wasTried(vm: VmName): Boolean = vm in tried

    /** Returns a copy of the VMs that were tried. */
    fun triedVms(): Set<VmName> = tried.toSet()

    fun add(vm: VmName, result: AttemptResult, elapsedMs: Long) {
        trace += "${vm.text}=${result.summary()}/${elapsedMs}ms"
        tried += vm
        last = result
        if (result.isWorkerReply()) workerReplied = true
        if (result is AttemptResult.Unknown) unknown = result
    }

    /** Records that a daemon refused to use [version], its worker's. */
    fun noteRefusedVersion(version: WorkerVersion?) {
        refusedVersions = refusedVersions + version
    }

    /**
     * Records the attempt beside the one that is added next: it ran at the same time and its result is not used, or it was cancelled
     * and has none.
     */
    fun addOther(vm: VmName, result: AttemptResult?, elapsedMs: Long) {
        wasHedged = true
        if (result != null) return add(vm, result, elapsedMs)
        trace += "${vm.text}=cancelled/${elapsedMs}ms"
        tried += vm
    }

    /** Records that another attempt was possible, but the retry budget did not allow it. */
    fun noteBudgetExhausted() {
        trace += "retry-budget-exhausted"
    }

    /** Returns whether the next attempt was paid for, which then is used up. */
    fun takePaidRepeat(): Boolean = repeatIsPaid.also { repeatIsPaid = false }

    /**
     * Returns the result to report to the caller, or null before the first attempt. When any attempt may
     * have run, the request is never reported as not run.
     */
    fun outcome(): AttemptResult? {
        val result = last ?: return null
        return if (result is AttemptResult.NotRun) unknown ?: result else result
    }
}

private fun AttemptResult.isWorkerReply(): Boolean =
    when (this) {
        is AttemptResult.Answered -> true
        is AttemptResult.NotRun -> reason == NotRunReason.WORKER_SHED
        is AttemptResult.Unknown -> false
    }

private fun AttemptResult.summary(): String =
    when (this) {
        is AttemptResult.Answered -> "${head.status}"
        is AttemptResult.NotRun -> "not-run:${reason.text}${load.summary()}"
        is AttemptResult.Unknown -> "unknown:${reason.text}${load.summary()}"
    }

private fun Load?.summary(): String =
    if (this == null) "" else "(in-flight $inFlight of $limit, waiting $waiting, slowness $slownessPercent%)"
