package org.endivestep.egress

import org.endivestep.identity.AttemptId

/** Result of fencing an attempt. */
internal enum class FenceResult {
    /** The attempt had not started and can no longer start. */
    NEVER_STARTED,

    /** The attempt started, or it is too old for this daemon to know. */
    MAY_HAVE_STARTED,
}

/**
 * Attempts that were started or fenced at this daemon; ensures that each attempt starts at most once.
 *
 * Started attempts are removed after [STARTED_RETENTION_MS]; a later fence returns
 * [FenceResult.MAY_HAVE_STARTED]. Fences are few and are kept for [fenceRetentionMs], which must exceed the
 * time that a request head can spend in transit. Times are in ms. Thread-safe.
 */
internal class AttemptRegistry(private val fenceRetentionMs: () -> Long, private val clockMs: () -> Long) {
    private val startedUntilMs = LinkedHashMap<AttemptId, Long>()
    private val fencedUntilMs = LinkedHashMap<AttemptId, Long>()

    val size: Int
        @Synchronized get() = startedUntilMs.size + fencedUntilMs.size

    /** Starts the attempt; returns false when it has already been fenced or started. */
    @Synchronized
    fun start(attempt: AttemptId): Boolean {
        expire()
        if (attempt in startedUntilMs || attempt in fencedUntilMs) return false
        startedUntilMs[attempt] = clockMs() + STARTED_RETENTION_MS
        return true
    }

    /** Fences the attempt, whose head was sent [ageMs] ago by the clock of the daemon that requests the fence. */
    @Synchronized
    fun fence(attempt: AttemptId, ageMs: Long): FenceResult {
        expire()
        if (attempt in fencedUntilMs) return FenceResult.NEVER_STARTED
        if (attempt in startedUntilMs || ageMs > STARTED_RETENTION_MS - FENCE_MARGIN_MS) return FenceResult.MAY_HAVE_STARTED
        fencedUntilMs[attempt] = clockMs() + fenceRetentionMs()
        return FenceResult.NEVER_STARTED
    }

    @Synchronized
    fun isFenced(attempt: AttemptId): Boolean = attempt in fencedUntilMs

    private fun expire() {
        val nowMs = clockMs()
        expire(startedUntilMs, nowMs)
        expire(fencedUntilMs, nowMs)
    }

    private fun expire(entries: LinkedHashMap<AttemptId, Long>, nowMs: Long) {
        val iterator = entries.values.iterator()
        while (iterator.hasNext() && iterator.next() <= nowMs) iterator.remove()
    }

    companion object {
        const val STARTED_RETENTION_MS = 15_000L

        /** Time in ms that a question about an attempt may be on its way, there and back; a later answer may have forgotten the start. */
        const val FENCE_MARGIN_MS = 5_000L
    }
}
