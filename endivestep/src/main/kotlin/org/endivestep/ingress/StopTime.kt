package org.endivestep.ingress

import org.endivestep.identity.KindName

/**
 * Until when a daemon that stops can pass on answers, and which requests it may therefore still send to a worker.
 *
 * A request whose deadline lies before that time may be sent whenever its turn comes. Any other one is sent only while its usual
 * processing time still fits: the answer to one that is sent later would be lost. Times are in ms of one clock. Thread-safe.
 */
internal class StopTime(private val usualMs: (KindName) -> Double) {
    @Volatile
    private var lastAnswerMs = Long.MAX_VALUE

    /** Records that answers can be passed on until [lastAnswerMs]. */
    fun set(lastAnswerMs: Long) {
        this.lastAnswerMs = lastAnswerMs
    }

    /** Returns the time from [nowMs] during which [call] may be sent to a worker; 0 or less when it must be refused. */
    fun sendWindowMs(call: IncomingCall, nowMs: Long): Long {
        if (call.deadline.atMs <= lastAnswerMs) return Long.MAX_VALUE
        return lastAnswerMs - usualMs(call.kind.name).toLong() - nowMs
    }
}
