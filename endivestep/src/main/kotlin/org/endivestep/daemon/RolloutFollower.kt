package org.endivestep.daemon

import io.github.oshai.kotlinlogging.KotlinLogging
import org.endivestep.identity.ServiceName
import org.endivestep.platform.OperatorObjects
import org.endivestep.platform.readRollout
import org.endivestep.platform.writeRolloutStatus
import org.endivestep.rollout.RolloutEntry
import org.endivestep.rollout.RolloutStatus
import org.endivestep.rollout.RolloutTable
import org.endivestep.store.CollectionEvent
import org.endivestep.store.CollectionFollower
import org.endivestep.store.CollectionItem
import org.endivestep.store.CollectionListener
import org.endivestep.store.CollectionName
import org.endivestep.store.ListedCollection
import org.endivestep.store.ObjectCollections
import org.endivestep.store.StoreRevision
import org.endivestep.store.WriteResult
import java.util.concurrent.ConcurrentHashMap
import java.util.random.RandomGenerator

private val logger = KotlinLogging.logger {}

/** Result of writing the status of a roll-out. */
internal enum class StatusWrite { WRITTEN, CONFLICT, UNKNOWN }

/** Writes the status of the roll-out that the store has as given, if it still has it so. Blocks. */
internal typealias StatusWriter = (RolloutEntry, RolloutStatus) -> StatusWrite

/** Keeps [table] up to date with the store, and writes statuses. [onChange] is called after each change of the table. */
internal class RolloutFollower(
    private val store: ObjectCollections,
    random: RandomGenerator,
    private val table: RolloutTable,
    private val isDecider: () -> Boolean,
    private val onChange: () -> Unit,
) {
    private val collection = CollectionName(OperatorObjects.ROLLOUTS)
    private val objectNames = ConcurrentHashMap<ServiceName, String>()
    private val follower =
        CollectionFollower(store, collection, random, CollectionListener(::listed, ::changed, { upToDate() }, ::maxWatchMs))

    val isConnected: Boolean get() = follower.isConnected

    fun start() = follower.start()

    fun stop() = follower.stop()

    /** Reads the collection again. */
    fun refresh() = follower.refresh()

    /** Writes [status] if the store still has [entry] as it is; the table learns of it at once. */
    fun write(entry: RolloutEntry, status: RolloutStatus): StatusWrite {
        val service = entry.order.service
        val name = objectNames[service] ?: service.text
        return when (
            val result = store.writeStatus(
                collection,
                name,
                writeRolloutStatus(status, table.orderedAtMs(service)),
                entry.revision,
            )
        ) {
            is WriteResult.Written -> {
                val revision = result.version.text.toLongOrNull()
                if (revision != null) accept(entry.copy(status = status, revision = entry.revision.copy(number = revision)))
                StatusWrite.WRITTEN
            }
            WriteResult.Conflict -> StatusWrite.CONFLICT
            is WriteResult.Unknown -> StatusWrite.UNKNOWN
        }
    }

    private fun listed(list: ListedCollection.Items) {
        val entries = list.items.mapNotNull(::read)
        entries.forEach(::accept)
        table.retain(entries.mapTo(HashSet()) { it.order.service }, list.revision)
        onChange()
    }

    private fun changed(event: CollectionEvent) {
        val entry = read(event.item) ?: return
        if (event.deleted) removed(entry.order.service, event.item.revision) else accept(entry)
    }

    private fun removed(service: ServiceName, revision: StoreRevision) {
        logger.info { "the roll-out of ${service.text} was removed at revision $revision" }
        table.remove(service, revision)
        onChange()
    }

    private fun accept(entry: RolloutEntry) {
        if (!table.update(entry, fromStore = true)) return
        logger.info {
            val state = entry.status?.state?.name?.lowercase() ?: "ordered"
            "roll-out of ${entry.order.service.text} to ${entry.order.target.text}: $state, share ${entry.sharePercent}% at " +
                "revision ${entry.revision}"
        }
        onChange()
    }

    private fun read(item: CollectionItem): RolloutEntry? {
        val entry = readRollout(item)
        if (entry == null) logger.error { "ignoring the roll-out ${item.name} at revision ${item.revision}: its spec cannot be read" }
        entry?.let { objectNames[it.order.service] = item.name }
        return entry
    }

    // The first list may be old; the watch that follows it reports all later changes.
    private fun upToDate() {
        if (table.isKnown) return
        table.markKnown()
        onChange()
    }

    // A watch may be silent for good, and a decider must not miss what another one wrote.
    private fun maxWatchMs(): Long =
        when {
            !table.isKnown -> 0
            isDecider() -> DECIDER_WATCH_MS
            else -> Long.MAX_VALUE
        }

    private companion object {
        const val DECIDER_WATCH_MS = 1_000L
    }
}
