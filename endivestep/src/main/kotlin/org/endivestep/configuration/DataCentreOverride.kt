package org.endivestep.configuration

import org.endivestep.document.DataCentreState
import org.endivestep.identity.DataCentreName
import org.endivestep.store.StoreEra
import org.endivestep.store.firstStoreEra

/**
 * State of a data centre that an operator requested and that the store has not confirmed yet.
 *
 * [changeId] is the id of the change that writes it to the store as soon as the store answers. [era] orders before [timeMs].
 */
internal data class DataCentreOverride(
    val dataCentre: DataCentreName,
    val state: DataCentreState,
    val changeId: String,
    val operator: String,
    val timeMs: Long,
    val era: StoreEra = firstStoreEra,
) {
    /** Whether this is a later request for the same data centre than [other]. */
    fun supersedes(other: DataCentreOverride): Boolean = order.compare(this, other) > 0

    private companion object {
        val order = compareBy<DataCentreOverride>({ it.era }, { it.timeMs }, { it.changeId })
    }
}
