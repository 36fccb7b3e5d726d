package org.endivestep.protocol

import org.endivestep.exchange.monotonicMs
import org.endivestep.protocol.v1.FenceAnswer

/**
 * What the daemon that sent an attempt has heard of it from the daemon beside the worker. Times are on the clock of [monotonicMs], null for
 * what has not happened. Thread-safe.
 */
internal class AttemptProgress {
    /** When the attempt was begun here; its head is sent as soon as there is a connection. */
    val beganMs = monotonicMs()

    /** When the notice of admission came. */
    @Volatile
    var admittedMs: Long? = null
        private set

    /** When the other daemon was first asked whether it has started the attempt. */
    @Volatile
    var askedMs: Long? = null
        private set

    /** When it answered that question. */
    @Volatile
    var toldMs: Long? = null
        private set

    /** What it answered. */
    @Volatile
    var told: FenceAnswer.State? = null
        private set

    fun noteAdmitted() {
        admittedMs = monotonicMs()
    }

    @Synchronized
    fun noteAsked() {
        if (askedMs == null) askedMs = monotonicMs()
    }

    @Synchronized
    fun noteTold(state: FenceAnswer.State) {
        if (told != null) return
        toldMs = monotonicMs()
        told = state
    }
}
