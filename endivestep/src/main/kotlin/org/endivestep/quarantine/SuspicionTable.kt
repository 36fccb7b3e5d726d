package org.endivestep.quarantine

import org.endivestep.identity.Fingerprint
import org.endivestep.identity.RequestSignature
import org.endivestep.identity.WorkerRunId

/**
 * Entries of suspected requests, at most [maxEntries], each until it expires. Times are in ms; [onRemoved] is told of
 * each entry that expired or was evicted. Not thread-safe.
 */
internal class SuspicionTable(
    private val maxEntries: Int,
    private val clockMs: () -> Long,
    private val onRemoved: (Fingerprint, SuspicionCause) -> Unit,
) {
    /** Deaths counted against a request until [untilMs]; [lone] if no other request was suspected of one of them. */
    class Entry(val deaths: Set<WorkerRunId>, val untilMs: Long, val lone: Boolean)

    private val entries = HashMap<Fingerprint, Entry>()
    private val origins = HashMap<RequestSignature, MutableSet<Fingerprint>>()

    val isEmpty: Boolean get() = entries.isEmpty()

    /** Returns the fingerprints of all entries, expired ones included. */
    fun fingerprints(): List<Fingerprint> = entries.keys.toList()

    operator fun get(fingerprint: Fingerprint): Entry? {
        val entry = entries[fingerprint] ?: return null
        if (entry.untilMs > clockMs()) return entry
        remove(fingerprint)
        onRemoved(fingerprint, SuspicionCause.EXPIRED)
        return null
    }

    /** Returns the entries of the requests with this signature, one for each origin. */
    fun withSignature(signature: RequestSignature): List<Entry> = origins[signature].orEmpty().toList().mapNotNull(::get)

    /** Adds the deaths of [other]; returns whether there was a new one among them. */
    fun merge(fingerprint: Fingerprint, other: Entry): Boolean {
        val known = get(fingerprint)
        if (known == null) {
            evictIfFull()
            put(fingerprint, other)
            return true
        }
        if (known.deaths.containsAll(other.deaths)) return false
        put(fingerprint, Entry(known.deaths + other.deaths, maxOf(known.untilMs, other.untilMs), known.lone || other.lone))
        return true
    }

    /** Removes the entry; returns whether there was one. */
    fun remove(fingerprint: Fingerprint): Boolean {
        if (entries.remove(fingerprint) == null) return false
        val others = origins.getValue(fingerprint.signature)
        others.remove(fingerprint)
        if (others.isEmpty()) origins.remove(fingerprint.signature)
        return true
    }

    private fun put(fingerprint: Fingerprint, entry: Entry) {
        entries[fingerprint] = entry
        origins.getOrPut(fingerprint.signature) { HashSet() } += fingerprint
    }

    // Evicts the entry with the fewest deaths, so suspects before quarantined requests; ties go to the earliest expiry.
    private fun evictIfFull() {
        if (entries.size < maxEntries) return
        val evicted = entries.entries.minWith(compareBy({ it.value.deaths.size }, { it.value.untilMs })).key
        remove(evicted)
        onRemoved(evicted, SuspicionCause.EVICTED)
    }
}
