package org.endivestep.ingress

import org.endivestep.concurrent.LoopDelay

/**
 * Bounds how long the requests of one connection waited before its event loop read them, by [loopDelay]. The connection was
 * opened at [openedMs], when the loop was behind as well. Must be used from that loop.
 */
internal class ReadDelay(private val loopDelay: LoopDelay, private val openedMs: Long) {
    private val openingDelayMs = loopDelay.currentMs
    private var isFirst = true

    init {
        loopDelay.noteActivity()
    }

    /** Returns the longest time in ms that a request which is read at [nowMs] may have waited. */
    fun atRead(nowMs: Long): Long {
        val currentMs = loopDelay.currentMs
        loopDelay.noteActivity()
        val sinceOpeningMs = nowMs - openedMs
        // What is read first may have been sent while the connection waited to be accepted.
        val waitedToOpen = isFirst && sinceOpeningMs <= currentMs + OPENING_MS
        isFirst = false
        return if (waitedToOpen) sinceOpeningMs + openingDelayMs else currentMs
    }

    private companion object {
        /** Time in ms after which a loop that is not behind has certainly read what came with a connection. */
        const val OPENING_MS = 50L
    }
}
