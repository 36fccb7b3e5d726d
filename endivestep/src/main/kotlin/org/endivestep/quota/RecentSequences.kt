package org.endivestep.quota

import org.endivestep.identity.DaemonIncarnation
import org.endivestep.membership.generation

/** Recognizes datagrams of one sender that were handled before. Remembers the last [CAPACITY] sequences. Not thread-safe. */
internal class RecentSequences {
    private val recent = LongArray(CAPACITY)
    private var count = 0
    private var run: DaemonIncarnation? = null

    /** Returns whether the datagram is new; an older run's, or one older than all remembered, is not. */
    fun accept(senderRun: DaemonIncarnation, sequence: Long): Boolean {
        val known = run
        if (known == null || known != senderRun) {
            if (known != null && senderRun.generation < known.generation) return false
            run = senderRun
        }
        return record(sequence)
    }

    private fun record(sequence: Long): Boolean {
        if ((0 until count).any { recent[it] == sequence }) return false
        if (count < CAPACITY) {
            recent[count++] = sequence
            return true
        }
        val oldest = recent.indices.minBy { recent[it] }
        if (sequence < recent[oldest]) return false
        recent[oldest] = sequence
        return true
    }

    private companion object {
        const val CAPACITY = 32
    }
}
