package org.endivestep.metrics

import io.github.oshai.kotlinlogging.KLogger
import java.util.concurrent.atomic.AtomicLong

/** A structured log line: a message and its named fields. */
internal class LogEntry(val message: String, val fields: Map<String, Any>)

/**
 * Writes at most [linesPerSecond] lines in each second of [clockMs]. The lines left out are counted, and
 * the count is added to the next line that is written. Never blocks. Thread-safe.
 */
internal class RateLimitedLog(private val logger: KLogger, private val linesPerSecond: Int, private val clockMs: () -> Long) {
    private var second = 0L
    private var written = 0
    private var skipped = 0

    /** Number of lines left out since the start. */
    val suppressed = AtomicLong()

    fun write(line: () -> LogEntry) {
        val earlier = tryAcquire() ?: return
        val entry = line()
        logger.atInfo {
            message = entry.message
            payload = if (earlier > 0) entry.fields + ("linesLeftOutBefore" to earlier) else entry.fields
        }
    }

    // Returns the number of lines left out since the last one written, or null if this one must be left out as well.
    @Synchronized
    private fun tryAcquire(): Int? {
        val now = clockMs() / MS_PER_SECOND
        if (now != second) {
            second = now
            written = 0
        }
        if (written >= linesPerSecond) {
            skipped++
            suppressed.incrementAndGet()
            return null
        }
        written++
        return skipped.also { skipped = 0 }
    }

    private companion object {
        const val MS_PER_SECOND = 1_000L
    }
}
