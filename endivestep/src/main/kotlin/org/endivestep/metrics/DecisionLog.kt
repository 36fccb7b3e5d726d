package org.endivestep.metrics

import io.github.oshai.kotlinlogging.KLogger
import java.util.concurrent.atomic.AtomicLong

/** One line of a log: a sentence, and the facts behind it by name. */
internal class DecisionLine(val message: String, val facts: Map<String, Any>)

/**
 * Writes at most [linesASecond] lines in each second of [clockMs]; the others are counted, and the
 * count is written with the next line. Never blocks. Thread-safe.
 */
internal class DecisionLog(private val logger: KLogger, private val linesASecond: Int, private val clockMs: () -> Long) {
    private var second = 0L
    private var written = 0
    private var left = 0

    /** Lines that were not written since the start. */
    val suppressed = AtomicLong()

    fun write(line: () -> DecisionLine) {
        val earlier = admit() ?: return
        val made = line()
        logger.atInfo {
            message = made.message
            payload = if (earlier > 0) made.facts + ("linesLeftOutBefore" to earlier) else made.facts
        }
    }

    // Returns how many lines were left out before this one, or null when this one is left out as well.
    @Synchronized
    private fun admit(): Int? {
        val now = clockMs() / MS_A_SECOND
        if (now != second) {
            second = now
            written = 0
        }
        if (written >= linesASecond) {
            left++
            suppressed.incrementAndGet()
            return null
        }
        written++
        return left.also { left = 0 }
    }

    private companion object {
        const val MS_A_SECOND = 1_000L
    }
}
