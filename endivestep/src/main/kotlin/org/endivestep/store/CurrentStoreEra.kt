package org.endivestep.store

import io.github.oshai.kotlinlogging.KotlinLogging

private val logger = KotlinLogging.logger {}

/** The latest era of the store that this daemon has heard of. Thread-safe. */
internal class CurrentStoreEra {
    /** The latest era; null before the first answer of the store. */
    @Volatile
    var era: StoreEra? = null
        private set

    /** Records that the store was in the era [observed], as [source] tells. */
    fun observe(observed: StoreEra, source: String) {
        val previous = advanceTo(observed) ?: return
        logger.warn { "the store was restored from a copy: era ${observed.number} after era ${previous.number}, told by $source" }
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
