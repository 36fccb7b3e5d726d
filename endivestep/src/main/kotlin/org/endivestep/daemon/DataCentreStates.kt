package org.endivestep.daemon

import io.github.oshai.kotlinlogging.KotlinLogging
import org.endivestep.configuration.DataCentreOverride
import org.endivestep.configuration.Overrides
import org.endivestep.document.DataCentreState
import org.endivestep.identity.DataCentreName
import org.endivestep.store.CollectionEvent
import org.endivestep.store.ListedCollection
import org.endivestep.store.StoreEra
import org.endivestep.store.StoreRevision

private val logger = KotlinLogging.logger {}

/**
 * Derives the states of the data centres from the objects that the operator keeps in the store: one for each that is out.
 *
 * A store that was restored from a copy may have lost such an object although it was acknowledged, and the operator then
 * writes it again. In a new era, a data centre whose object is missing therefore returns to service only after
 * [SETTLING_MS], or when the object was deleted in that era. Not thread-safe.
 */
internal class DataCentreStates(private val overrides: Overrides, private val clockMs: () -> Long) {
    private var era: StoreEra? = null
    private var settledMs = 0L
    private val present = HashSet<String>()

    /** Time in ms after which [upToDate] is to be called, because a data centre may return to service by then. */
    fun msUntilSettled(): Long =
        if (outOfEarlierEras().isEmpty()) Long.MAX_VALUE else (settledMs - clockMs()).coerceAtLeast(SHORTEST_WAIT_MS)

    fun listed(listed: ListedCollection.Items) {
        if (listed.revision.era != era) beginEra(listed.revision.era)
        present.clear()
        present += listed.items.map { it.name }
        overrides.merge(listed.items.map { stateOf(it.name, DataCentreState.OUT, it.revision) })
        upToDate(listed.revision)
        outOfEarlierEras().forEach {
            logger.warn { "keeping data centre ${it.dataCentre.text} out: its object is missing since the store was restored" }
        }
    }

    fun changed(event: CollectionEvent) {
        if (event.deleted) present -= event.item.name else present += event.item.name
        val state = if (event.deleted) DataCentreState.IN else DataCentreState.OUT
        overrides.merge(listOf(stateOf(event.item.name, state, event.item.revision)))
    }

    /** All changes up to [revision] were reported. */
    fun upToDate(revision: StoreRevision) {
        val isSettled = clockMs() >= settledMs
        val returning = absent().filter { isSettled || it.era == revision.era }
        returning.filter { it.era < revision.era }.forEach {
            logger.info { "data centre ${it.dataCentre.text} returns: its object was not written again after the store was restored" }
        }
        overrides.merge(returning.map { stateOf(it.dataCentre.text, DataCentreState.IN, revision) })
    }

    private fun beginEra(begun: StoreEra) {
        logger.info { "the states of the data centres are read in era ${begun.number} of the store" }
        era = begun
        settledMs = clockMs() + SETTLING_MS
    }

    private fun absent() = overrides.entries.filter { it.state == DataCentreState.OUT && it.dataCentre.text !in present }

    private fun outOfEarlierEras(): List<DataCentreOverride> = absent().filter { it.era < (era ?: it.era) }

    // The store's revision takes the place of a timestamp in the order of the states of a data centre.
    private fun stateOf(dataCentre: String, state: DataCentreState, revision: StoreRevision) =
        DataCentreOverride(
            DataCentreName(dataCentre),
            state,
            "revision $revision ${state.text}",
            "operator",
            revision.number,
            revision.era,
        )

    companion object {
        /** Time in which the operator writes again what a restore of the store has lost. */
        const val SETTLING_MS = 10_000L
        private const val SHORTEST_WAIT_MS = 100L
    }
}
