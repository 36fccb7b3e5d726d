package org.endivestep.ingress

import org.endivestep.identity.Fingerprint

/**
 * Requests that were refused a short time ago, so that one that comes back is known.
 *
 * A pure state machine: times are in ms. Not thread-safe.
 */
internal class RefusedLately {
    private val firstArrivalMs = LinkedHashMap<Fingerprint, Long>()

    /** Notes that a request that arrived at [arrivedMs] was refused; a first arrival that is known stays. */
    fun refused(fingerprint: Fingerprint, arrivedMs: Long) {
        expire(arrivedMs)
        firstArrivalMs.putIfAbsent(fingerprint, arrivedMs)
        if (firstArrivalMs.size > MOST_KEPT) firstArrivalMs.remove(firstArrivalMs.keys.first())
    }

    /** Returns when the request arrived for the first time, or null when it was not refused lately. */
    fun firstArrivalMs(fingerprint: Fingerprint, nowMs: Long): Long? {
        expire(nowMs)
        return firstArrivalMs[fingerprint]
    }

    private fun expire(nowMs: Long) {
        val iterator = firstArrivalMs.values.iterator()
        while (iterator.hasNext() && iterator.next() < nowMs - KEPT_MS) iterator.remove()
    }

    private companion object {
        const val KEPT_MS = 8_000L
        const val MOST_KEPT = 4_096
    }
}
