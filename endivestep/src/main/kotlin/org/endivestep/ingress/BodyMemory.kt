package org.endivestep.ingress

import io.github.oshai.kotlinlogging.KotlinLogging
import java.util.concurrent.atomic.AtomicBoolean
import java.util.concurrent.atomic.AtomicLong

private val logger = KotlinLogging.logger {}

/** Bounds the memory that all request bodies together take which a server buffers, to [maxBytes]. Thread-safe. */
internal class BodyMemory(private val maxBytes: Long) {
    private val taken = AtomicLong()
    private val refuses = AtomicBoolean()

    /** Takes [bytes]; returns false, and takes none, if they are not left. */
    fun tryTake(bytes: Int): Boolean {
        val fits = taken.addAndGet(bytes.toLong()) <= maxBytes
        if (!fits) taken.addAndGet(-bytes.toLong())
        logChange(!fits)
        return fits
    }

    /** Gives back [bytes] that were taken. */
    fun giveBack(bytes: Long) {
        taken.addAndGet(-bytes)
    }

    private fun logChange(refusesNow: Boolean) {
        if (refuses.get() == refusesNow || !refuses.compareAndSet(!refusesNow, refusesNow)) return
        if (refusesNow) {
            logger.warn { "refusing requests with bodies: those that are buffered take $maxBytes bytes" }
        } else {
            logger.info { "accepting requests with bodies again" }
        }
    }
}
