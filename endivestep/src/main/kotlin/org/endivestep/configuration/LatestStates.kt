package org.endivestep.configuration

import org.endivestep.document.Document
import org.endivestep.document.readDocument
import org.endivestep.findings.Checked
import org.endivestep.identity.DataCentreName
import org.endivestep.protocol.toOverride
import org.endivestep.protocol.v1.ConfigurationRecord

/** Returns the latest recorded state change of each data centre. */
internal fun ConfigurationRecord.latestStates(): Map<DataCentreName, DataCentreOverride> =
    latestStatesList.mapNotNull { it.toOverride() }.associateBy { it.dataCentre }

/**
 * Returns the latest state change of each data centre after [change] is applied to [current] at
 * [timeMs]. A change that writes an override counts even if the document already has that state.
 */
internal fun latestStatesAfter(current: ConfigurationRecord, change: Change, timeMs: Long): List<DataCentreOverride> {
    val before = parsed(current.document)
    val after = parsed(change.document)?.dataCentres.orEmpty()
    val changed =
        after.values
            .filter { it.state != before?.dataCentres?.get(it.name)?.state }
            .associate { it.name to DataCentreOverride(it.name, it.state, change.changeId, change.operator, timeMs) }
    val written = listOfNotNull(change.override).associateBy { it.dataCentre }
    return (current.latestStates() + changed + written).filterKeys { it in after }.values.toList()
}

private fun parsed(text: String): Document? = (readDocument("document", text) as? Checked.Valid)?.value
