package org.endivestep.daemon

import io.github.oshai.kotlinlogging.KotlinLogging
import org.endivestep.configuration.ConfigurationAdoption
import org.endivestep.configuration.ConfigurationPosition
import org.endivestep.configuration.Overrides
import org.endivestep.configuration.offerAndLog
import org.endivestep.exchange.monotonicMs
import org.endivestep.platform.OperatorObjects
import org.endivestep.platform.versionOf
import org.endivestep.protocol.v1.ChangeEntry
import org.endivestep.protocol.v1.ConfigurationRecord
import org.endivestep.store.CollectionFollower
import org.endivestep.store.CollectionItem
import org.endivestep.store.CollectionListener
import org.endivestep.store.CollectionName
import org.endivestep.store.ObjectCollections
import org.endivestep.store.StoreRevision
import org.endivestep.store.WatchedCollection
import java.util.random.RandomGenerator

private val logger = KotlinLogging.logger {}

/** Follows the objects that the operator writes to the platform's store: the configuration and the data centres that are out of service. */
internal class OperatorObjectsFollower(
    private val store: ObjectCollections,
    random: RandomGenerator,
    private val adoption: ConfigurationAdoption,
    overrides: Overrides,
    clockMs: () -> Long = ::monotonicMs,
) {
    private val collection = CollectionName(OperatorObjects.CONFIGURATION)
    private val states = DataCentreStates(overrides, clockMs)
    private val configurations =
        CollectionFollower(
            store,
            collection,
            random,
            CollectionListener({ listed -> listed.items.forEach(::offer) }, { if (!it.deleted) offer(it.item) }),
        )
    private val dataCentreStates =
        CollectionFollower(
            store,
            CollectionName(OperatorObjects.DATA_CENTRES_OUT),
            random,
            CollectionListener(states::listed, states::changed, states::upToDate, states::msUntilSettled),
        )

    // Revision of the last answer to [confirmedPosition]; all changes up to it have been offered.
    @Volatile
    private var confirmed: StoreRevision? = null

    /** Whether the store answered the last call of the configuration follower. */
    val isConnected: Boolean get() = configurations.isConnected

    /** Whether the configuration was listed, so that [confirmedPosition] can ask for changes since then. */
    val isListed: Boolean get() = configurations.known != null

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

    /**
     * Asks the store for changes of the configuration that have not been reported yet, and offers them for adoption. Returns the
     * position of the configuration that is then in force here, which was the latest in the store after the call began; null when
     * the store gave no usable answer. Blocks.
     */
    fun confirmedPosition(): ConfigurationPosition? {
        val reported = configurations.known ?: return null
        val since = confirmed?.let { maxOf(it, reported) } ?: reported
        return when (val watched = store.watch(collection, since, timeoutMs = 0)) {
            is WatchedCollection.Events -> if (watched.revision.era == since.era) confirmedBy(watched) else null
            // The follower may not notice this for as long as its watch waits.
            WatchedCollection.HistoryGone -> null.also { configurations.refresh() }
            is WatchedCollection.Unavailable -> null
        }
    }

    private fun confirmedBy(watched: WatchedCollection.Events): ConfigurationPosition {
        watched.events.filterNot { it.deleted }.forEach { offer(it.item) }
        confirmed = watched.revision
        return adoption.settledPosition()
    }

    private fun offer(item: CollectionItem) {
        if (item.name != OperatorObjects.CONFIGURATION_NAME) return
        val record = operatorRecord(item)
        if (record == null) logger.error { "ignoring the configuration at store revision ${item.revision}: it has no version" }
        record?.let(adoption::offerAndLog)
    }
}

/** Returns the configuration in [item], or null when it has no version. */
internal fun operatorRecord(item: CollectionItem): ConfigurationRecord? {
    val version = versionOf(item.text) ?: return null
    return ConfigurationRecord
        .newBuilder()
        .setVersion(version)
        .setDocument(item.text)
        .setChange(ChangeEntry.newBuilder().setChangeId("version $version"))
        .setStoreEra(item.revision.era.number)
        .setStoreRevision(item.revision.number)
        .build()
}
