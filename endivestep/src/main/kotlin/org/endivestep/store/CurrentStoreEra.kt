package org.endivestep.store

import io.github.oshai.kotlinlogging.KotlinLogging

private val logger = KotlinLogging.logger {}

/**
 * The latest era of the store that this daemon has heard of, from the store or from other daemons.
 *
 * [onRisen] is called on the thread of the observation, once for each rise after the first era. Thread-safe.
 */
internal class CurrentStoreEra(private val onRisen: () -> Unit = {}) {
    /** The latest era; null before the first answer of the store. */
    @Volatile
    var era: StoreEra? = null
        private set

    /** Records that the store was in the era [observed], as [source] tells; returns whether no later era is known. */
    fun observe(observed: StoreEra, source: String): Boolean {
        val previous = advanceTo(observed) ?: return observed == era
        logger.warn { "the store was restored from a copy: era ${observed.number} after era ${previous.number}, told by $source" }
        onRisen()
        return true
    }

    // Returns the previous era if the era has risen.
    @Synchronized
    private fun advanceTo(observed: StoreEra): StoreEra? {
        val previous = era
        if (previous != null && observed <= previous) return null
        era = observed
        if (previous == null) logger.info { "the store is in era ${observed.number}" }
        return previous
    }
}
