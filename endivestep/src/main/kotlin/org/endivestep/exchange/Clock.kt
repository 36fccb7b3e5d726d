package org.endivestep.exchange

private const val NANOS_PER_MS = 1_000_000L

/** Returns the time of a monotonic clock in ms; only differences between its values are meaningful. */
internal fun monotonicMs(): Long = System.nanoTime() / NANOS_PER_MS

/** Time on the clock of [monotonicMs] after which an answer is no longer useful. */
@JvmInline
internal value class Deadline(val atMs: Long) {
    fun remainingMs(nowMs: Long): Long = atMs - nowMs
}
