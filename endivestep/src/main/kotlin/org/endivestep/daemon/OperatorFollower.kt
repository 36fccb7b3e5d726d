package org.endivestep.daemon

import io.github.oshai.kotlinlogging.KotlinLogging
import org.endivestep.configuration.ConfigurationAdoption
import org.endivestep.configuration.DataCentreOverride
import org.endivestep.configuration.Overrides
import org.endivestep.configuration.offerAndLog
import org.endivestep.document.DataCentreState
import org.endivestep.identity.DataCentreName
import org.endivestep.platform.OperatorObjects
import org.endivestep.platform.versionOf
import org.endivestep.protocol.v1.ChangeEntry
import org.endivestep.protocol.v1.ConfigurationRecord
import org.endivestep.store.CollectionEvent
import org.endivestep.store.CollectionFollower
import org.endivestep.store.CollectionItem
import org.endivestep.store.CollectionListener
import org.endivestep.store.CollectionName
import org.endivestep.store.ListedCollection
import org.endivestep.store.ObjectCollections
import org.endivestep.store.StoreRevision
import java.util.random.RandomGenerator

private val logger = KotlinLogging.logger {}

/** Takes what the operator writes into the platform's store: the configuration, and data centres that are out. */
internal class OperatorFollower(
    store: ObjectCollections,
    random: RandomGenerator,
    private val adoption: ConfigurationAdoption,
    private val overrides: Overrides,
) {
    private val configurations =
        CollectionFollower(
            store,
            CollectionName(OperatorObjects.CONFIGURATION),
            random,
            CollectionListener({ listed -> listed.items.forEach(::offer) }, { if (!it.deleted) offer(it.item) }),
        )
    private val dataCentreStates =
        CollectionFollower(
            store,
            CollectionName(OperatorObjects.DATA_CENTRES_OUT),
            random,
            CollectionListener(::statesListed, ::stateChanged),
        )

    /** Whether the store answers. */
    val isConnected: Boolean get() = configurations.isConnected

    fun start() {
        configurations.start()
        dataCentreStates.start()
    }

    private fun offer(item: CollectionItem) {
        if (item.name != OperatorObjects.CONFIGURATION_NAME) return
        val version = versionOf(item.text)
        if (version == null) {
            logger.error { "the configuration at revision ${item.revision.number} has no version" }
            return
        }
        val change = ChangeEntry.newBuilder().setChangeId("version $version")
        adoption.offerAndLog(ConfigurationRecord.newBuilder().setVersion(version).setDocument(item.text).setChange(change).build())
    }

    private fun statesListed(listed: ListedCollection.Items) {
        val out = listed.items.map { stateOf(it.name, DataCentreState.OUT, it.revision) }
        val names = listed.items.map { it.name }.toSet()
        val returned = overrides.entries.filter { it.state == DataCentreState.OUT && it.dataCentre.text !in names }
        overrides.merge(out + returned.map { stateOf(it.dataCentre.text, DataCentreState.IN, listed.revision) })
    }

    private fun stateChanged(event: CollectionEvent) {
        val state = if (event.deleted) DataCentreState.IN else DataCentreState.OUT
        overrides.merge(listOf(stateOf(event.item.name, state, event.item.revision)))
    }

    // The store's revision orders the states of a data centre, in place of a time.
    private fun stateOf(dataCentre: String, state: DataCentreState, revision: StoreRevision) =
        DataCentreOverride(DataCentreName(dataCentre), state, "revision ${revision.number} ${state.text}", "operator", revision.number)
}
