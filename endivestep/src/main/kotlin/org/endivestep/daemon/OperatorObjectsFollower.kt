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

/** Follows the objects that the operator writes to the platform's store: the configuration and the data centres that are out of service. */
internal class OperatorObjectsFollower(
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

    /** Whether the store answered the last call of the configuration follower. */
    val isConnected: Boolean get() = configurations.isConnected

    fun start() {
        configurations.start()
        dataCentreStates.start()
    }

    fun stop() {
        configurations.stop()
        dataCentreStates.stop()
    }

    /** Reads both collections again, because the watches that are in progress may be silent for good or from before a restore. */
    fun refresh() {
        configurations.refresh()
        dataCentreStates.refresh()
    }

    private fun offer(item: CollectionItem) {
        if (item.name != OperatorObjects.CONFIGURATION_NAME) return
        val version = versionOf(item.text)
        if (version == null) {
            logger.error { "ignoring the configuration at store revision ${item.revision.number}: it has no version" }
            return
        }
        val change = ChangeEntry.newBuilder().setChangeId("version $version")
        adoption.offerAndLog(ConfigurationRecord.newBuilder().setVersion(version).setDocument(item.text).setChange(change).build())
    }

    private fun statesListed(listed: ListedCollection.Items) {
        val out = listed.items.map { stateOf(it.name, DataCentreState.OUT, it.revision) }
        val names = listed.items.map { it.name }.toSet()
        val noLongerOut = overrides.entries.filter { it.state == DataCentreState.OUT && it.dataCentre.text !in names }
        overrides.merge(out + noLongerOut.map { stateOf(it.dataCentre.text, DataCentreState.IN, listed.revision) })
    }

    private fun stateChanged(event: CollectionEvent) {
        val state = if (event.deleted) DataCentreState.IN else DataCentreState.OUT
        overrides.merge(listOf(stateOf(event.item.name, state, event.item.revision)))
    }

    // The store's revision takes the place of a timestamp in the order of the states of a data centre.
    private fun stateOf(dataCentre: String, state: DataCentreState, revision: StoreRevision) =
        DataCentreOverride(DataCentreName(dataCentre), state, "revision ${revision.number} ${state.text}", "operator", revision.number)
}
