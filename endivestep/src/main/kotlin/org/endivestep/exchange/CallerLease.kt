package org.endivestep.exchange

import java.util.concurrent.CountDownLatch
import java.util.concurrent.TimeUnit

/**
 * Asks whether the caller of a request still waits. Does not block; the argument is called if the caller is found waiting after the
 * question was asked, and never otherwise.
 */
internal typealias CallerQuestion = (onPresent: () -> Unit) -> Unit

/**
 * The knowledge that the caller of a request waits for its answer, which expires.
 *
 * A daemon that is behind reads the close of a caller late, and the daemon beside the worker hears of it later still. So a request is sent
 * to a worker only while its lease is valid: its caller was known to wait at most [DURATION_MS] ago. Times are on the clock of
 * [monotonicMs]. Thread-safe.
 */
internal class CallerLease(renewedMs: Long, private val ask: CallerQuestion) {
    /** When the caller was last known to wait. */
    @Volatile
    var renewedMs: Long = renewedMs
        private set

    fun isValid(nowMs: Long): Boolean = nowMs - renewedMs <= DURATION_MS

    /** Renews the lease unless that was done lately; blocks. Returns false when the caller is not known to wait. */
    fun renewIfOld(): Boolean {
        val askedMs = monotonicMs()
        if (askedMs - renewedMs <= RENEWED_AFTER_MS) return true
        val answered = CountDownLatch(1)
        ask {
            // The answer was found after the question was asked, but it is not known how long after.
            renewedMs = maxOf(renewedMs, askedMs)
            answered.countDown()
        }
        return answered.await(DURATION_MS, TimeUnit.MILLISECONDS)
    }

    /** Asks anew whether the caller waits, however recently that was known; see [CallerQuestion]. */
    fun askAnew(onPresent: () -> Unit) = ask(onPresent)

    companion object {
        /** Time in ms; work must not begin later than half a second after the caller has left, and writing takes time as well. */
        const val DURATION_MS = 400L
        private const val RENEWED_AFTER_MS = DURATION_MS / 2

        /** Time of a renewal after which a lease never expires. */
        const val FOREVER_MS = Long.MAX_VALUE / 2

        /** The lease of a request whose caller cannot be watched; it never expires. */
        fun unlimited() = CallerLease(FOREVER_MS) { onPresent -> onPresent() }
    }
}
