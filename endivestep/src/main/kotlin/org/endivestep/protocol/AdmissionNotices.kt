package org.endivestep.protocol

import org.endivestep.concurrent.BackgroundLoop
import org.endivestep.concurrent.MpscQueue

/** An exchange whose sender must hear that it was admitted, unless the answer begins first. */
internal interface PendingNotice {
    /** When the exchange arrived, in ms of the clock of [AdmissionNotices]. */
    val arrivedMs: Long

    /** Sends the notice if the answer has not begun; must not block. */
    fun sendNotice()
}

/**
 * Sends the notices of admission that are due, on a thread of its own.
 *
 * The sender of an attempt asks about it when nothing comes back within [ADMIT_TIMEOUT_MS]. Most answers begin long
 * before that and then need no notice, which would cost each request another message in each direction.
 */
internal class AdmissionNotices(private val clockMs: () -> Long, private val noticeAgeMs: Long = NOTICE_AGE_MS) {
    private val pending = MpscQueue<PendingNotice>(QUEUE_CAPACITY)
    private var loop: BackgroundLoop? = null

    fun start() {
        loop = BackgroundLoop.start("admission-notices", ::sendNext)
    }

    fun stop() {
        loop?.stop()
    }

    /** Queues the notice of [exchange], which was admitted now; sends it at once when it is due or the queue is full. */
    fun admitted(exchange: PendingNotice) {
        val isDue = clockMs() - exchange.arrivedMs >= noticeAgeMs
        if (isDue || !pending.offer(exchange)) exchange.sendNotice()
    }

    private fun sendNext() {
        val next = pending.poll(IDLE_MS) ?: return
        val remainingMs = next.arrivedMs + noticeAgeMs - clockMs()
        // Short waits are skipped, so that a busy daemon wakes this thread for many notices at a time.
        if (remainingMs > noticeAgeMs / SKIPPED_WAIT_DIVISOR) Thread.sleep(remainingMs)
        next.sendNotice()
    }

    private companion object {
        const val QUEUE_CAPACITY = 4_096
        const val NOTICE_AGE_MS = 300L
        const val SKIPPED_WAIT_DIVISOR = 3
        const val IDLE_MS = 10_000L
    }
}
