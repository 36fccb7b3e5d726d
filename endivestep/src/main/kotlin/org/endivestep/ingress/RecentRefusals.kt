package org.endivestep.ingress

import org.endivestep.identity.Fingerprint

/**
 * Fingerprints of recently refused requests, used to recognize a request that a caller sends again.
 *
 * A pure state machine: times are in ms. Not thread-safe.
 */
internal class RecentRefusals {
    private val firstArrivalMs = LinkedHashMap<Fingerprint, Long>()

    /** Records the refusal of a request that arrived at [arrivedMs]; the first arrival that is already recorded is kept. */
    fun record(fingerprint: Fingerprint, arrivedMs: Long) {
        expire(arrivedMs)
        firstArrivalMs.putIfAbsent(fingerprint, arrivedMs)
        if (firstArrivalMs.size > MAX_ENTRIES) firstArrivalMs.remove(firstArrivalMs.keys.first())
    }

    /** Returns when the request first arrived, or null when it was not refused within [RETENTION_MS]. */
    fun firstArrivalMs(fingerprint: Fingerprint, nowMs: Long): Long? {
        expire(nowMs)
        return firstArrivalMs[fingerprint]
    }

    private fun expire(nowMs: Long) {
        val iterator = firstArrivalMs.values.iterator()
        while (iterator.hasNext() && iterator.next() < nowMs - RETENTION_MS) iterator.remove()
    }

    private companion object {
        const val RETENTION_MS = 8_000L
        const val MAX_ENTRIES = 4_096
    }
}
