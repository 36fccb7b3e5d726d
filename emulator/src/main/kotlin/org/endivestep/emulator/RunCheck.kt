package org.endivestep.emulator

import java.net.URI
import java.util.concurrent.ConcurrentHashMap

/** Compares the outcomes reported to callers with the runs that the workers recorded. Thread-safe. */
internal class RunCheck(private val workers: List<String>) {
    private val nonIdempotent = ConcurrentHashMap.newKeySet<String>()
    private val reportedNotRun = ConcurrentHashMap.newKeySet<String>()

    /** Records that the request [name] must not run twice. */
    fun recordNonIdempotent(name: String) {
        nonIdempotent += name
    }

    /** Records that the outcome of the request [name] was reported as not run. */
    fun recordNotRun(name: String) {
        reportedNotRun += name
    }

    /** Reads the runs that the workers recorded and compares; returns null when there are no workers to read from. */
    fun compare(): RunFindings? {
        if (workers.isEmpty()) return null
        val runs = workers.flatMap { URI("http://$it/emulator/runs").toURL().readText().lines() }
        val counts = runs.groupingBy { it }.eachCount()
        return RunFindings(
            ranTwice = nonIdempotent.count { (counts[it] ?: 0) > 1 },
            falseRefusals = reportedNotRun.count { it in counts },
        )
    }
}

/**
 * Violations: [ranTwice] counts non-idempotent requests that ran more than once, [falseRefusals] requests that ran although they were
 * reported as not run.
 */
internal data class RunFindings(val ranTwice: Int, val falseRefusals: Int)
