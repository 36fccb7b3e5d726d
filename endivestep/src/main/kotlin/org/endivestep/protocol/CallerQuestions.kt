package org.endivestep.protocol

import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.ThreadLocalRandom
import java.util.concurrent.atomic.AtomicLong

/** Questions to other daemons, by number, whether the callers of their requests still wait. Thread-safe. */
internal class CallerQuestions {
    // Begins anywhere, so that no answer to an earlier run of this daemon is taken for one to this run.
    private val lastNumber = AtomicLong(ThreadLocalRandom.current().nextLong())
    private val unanswered = ConcurrentHashMap<Long, (remainingMs: Long) -> Unit>()

    /** Returns the number of a new question; [onAnswer] is called at most once, with the time in ms that remains to the request. */
    fun add(onAnswer: (remainingMs: Long) -> Unit): Long = lastNumber.incrementAndGet().also { unanswered[it] = onAnswer }

    /** Passes on that the caller was found waiting after question [number] was received. */
    fun answered(number: Long, remainingMs: Long) {
        unanswered.remove(number)?.invoke(remainingMs)
    }

    /** Ends question [number]; an answer that comes later has no effect. */
    fun withdraw(number: Long) {
        unanswered.remove(number)
    }
}
