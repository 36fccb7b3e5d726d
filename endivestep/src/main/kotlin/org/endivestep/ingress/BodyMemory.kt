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
        if (taken.addAndGet(bytes.toLong()) <= maxBytes) return true
        taken.addAndGet(-bytes.toLong())
        if (refuses.compareAndSet(false, true)) {
            logger.warn { "refusing requests with bodies: those that are buffered take $maxBytes bytes" }
        }
        return false
    }

    /** Gives back [bytes] that were taken. */
    fun giveBack(bytes: Long) {
        val left = taken.addAndGet(-bytes)
        // Well below the bound, so that requests at the bound do not write a line each.
        if (left <= maxBytes / 2 && refuses.compareAndSet(true, false)) logger.info { "accepting requests with bodies again" }
    }
}
