package org.endivestep.membership

import org.endivestep.identity.Fingerprint
import org.endivestep.identity.WorkerRunId
import org.endivestep.quarantine.SuspicionEntry

/** Entries of suspected requests that are still to be disseminated. Not thread-safe. */
internal class SuspicionDissemination {
    private class Item(val entry: SuspicionEntry, var remainingSends: Int)

    private val items = ArrayDeque<Item>()
    private val seen = LinkedHashMap<Fingerprint, Set<WorkerRunId>>()

    /** Adds [entries], also such as were sent before, because another daemon turned out not to have them. */
    fun add(entries: List<SuspicionEntry>) =
        entries.forEach { entry ->
            seen[entry.fingerprint] = seen[entry.fingerprint].orEmpty() + entry.deaths
            if (seen.size > MAX_SEEN) seen.remove(seen.keys.first())
            items.removeAll { it.entry.fingerprint == entry.fingerprint }
            items.addLast(Item(entry, TRANSMISSIONS))
        }

    /** Adds the entries with deaths not seen before, and returns them. */
    fun addNew(entries: List<SuspicionEntry>): List<SuspicionEntry> {
        val added = entries.filter { !seen[it.fingerprint].orEmpty().containsAll(it.deaths) }
        add(added)
        return added
    }

    /** Returns the entries to piggyback on one message. */
    fun take(): List<SuspicionEntry> {
        val chosen = items.take(ENTRIES_PER_MESSAGE)
        chosen.forEach { it.remainingSends-- }
        items.removeAll { it.remainingSends <= 0 }
        return chosen.map { it.entry }
    }

    companion object {
        /** Number of entries in one message. */
        const val ENTRIES_PER_MESSAGE = 6

        private const val TRANSMISSIONS = 20
        private const val MAX_SEEN = 4_096
    }
}
