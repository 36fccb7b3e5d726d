package org.endivestep.protocol

import org.endivestep.configuration.DataCentreOverride
import org.endivestep.document.DataCentreState
import org.endivestep.identity.DataCentreName
import org.endivestep.protocol.v1.Override
import org.endivestep.store.StoreEra

internal fun DataCentreOverride.toWire(): Override =
    Override
        .newBuilder()
        .setDataCentre(dataCentre.text)
        .setState(state.text)
        .setChangeId(changeId)
        .setOperator(operator)
        .setTimeMs(timeMs)
        .setStoreEra(era.number)
        .build()

/** Returns the override, or null when this version does not know its state. */
internal fun Override.toOverride(): DataCentreOverride? {
    val known = DataCentreState.entries.firstOrNull { it.text == state } ?: return null
    return DataCentreOverride(DataCentreName(dataCentre), known, changeId, operator, timeMs, StoreEra(storeEra))
}
