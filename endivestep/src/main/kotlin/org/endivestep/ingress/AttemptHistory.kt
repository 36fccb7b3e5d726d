package org.endivestep.ingress

import org.endivestep.identity.VmName
import org.endivestep.outcome.AttemptResult
import org.endivestep.outcome.Load

/** Attempts of one request so far. Not thread-safe. */
internal class AttemptHistory {
    private val triedVms = mutableSetOf<VmName>()
    private var last: AttemptResult? = null
    private var unknown: AttemptResult.Unknown? = null

    /** Refusals that met no worker and were taken elsewhere. */
    var handovers = 0

    /** One word for each attempt so far: where it went, how it ended, and after how long in ms. */
    val trace = mutableListOf<String>()

    val count: Int get() = triedVms.size

    fun wasTried(vm: VmName): Boolean = vm in triedVms

    fun add(vm: VmName, result: AttemptResult, elapsedMs: Long) {
        trace += "${vm.text}=${result.summary()}/${elapsedMs}ms"
        triedVms += vm
        last = result
        if (result is AttemptResult.Unknown) unknown = result
    }

    /**
     * What the caller is told, or null before the first attempt. A request of which any attempt may
     * have run is never told as not run.
     */
    fun outcome(): AttemptResult? {
        val result = last ?: return null
        return if (result is AttemptResult.NotRun) unknown ?: result else result
    }
}

private fun AttemptResult.summary(): String =
    when (this) {
        is AttemptResult.Answered -> "${head.status}"
        is AttemptResult.NotRun -> "not-run:${reason.text}${load.summary()}"
        is AttemptResult.Unknown -> "unknown:${reason.text}${load.summary()}"
    }

private fun Load?.summary(): String =
    if (this == null) "" else "(in-flight $inFlight of $limit, waiting $waiting, slowness $slownessPercent%)"
