package org.endivestep.store

import io.github.oshai.kotlinlogging.KotlinLogging
import org.endivestep.concurrent.BackgroundLoop
import org.endivestep.concurrent.ExponentialBackoff
import java.util.random.RandomGenerator

private val logger = KotlinLogging.logger {}

/** Callbacks of a [CollectionFollower], called on the follower's own thread. */
internal class CollectionListener(
    /** Called with all objects after the first listing and whenever changes may have been missed. */
    val onListed: (ListedCollection.Items) -> Unit,
    val onChanged: (CollectionEvent) -> Unit,
    /** Called after every watch that was answered, when all changes up to the given revision were reported. */
    val onUpToDate: (StoreRevision) -> Unit = {},
    /** Longest time in ms until [onUpToDate] is to be called again. */
    val maxWatchMs: () -> Long = { Long.MAX_VALUE },
)

/**
 * Follows one collection: lists it, then watches for changes, and lists it again when the store no longer has the changes since then.
 *
 * A list may be old, which costs the store less: the watch that follows returns at once what has changed since. When the
 * store no longer has those changes, or was restored from a copy, the next list must be current: an old one may show the
 * state before the restore, and its revision may have been given out again.
 */
internal class CollectionFollower(
    private val store: ObjectCollections,
    private val collection: CollectionName,
    random: RandomGenerator,
    private val listener: CollectionListener,
    private val pause: (Long) -> Unit = Thread::sleep,
) {
    private val backoff = ExponentialBackoff(FIRST_PAUSE_MS, MAX_PAUSE_MS, random)
    private val refresh = RefreshSignal { loop?.interrupt() }
    private var mustBeCurrent = false
    private var loop: BackgroundLoop? = null

    /** Revision up to which all changes were reported; null before the first list and while the collection must be listed again. */
    @Volatile
    var known: StoreRevision? = null
        private set

    /** Whether the last call to the store was answered. */
    @Volatile
    var isConnected = false
        private set

    fun start() {
        loop = BackgroundLoop.start("follow-${collection.text}", ::step)
    }

    fun stop() {
        loop?.stop()
    }

    /** Ends a watch that is in progress, which may be silent for good, and lists the collection again. */
    fun refresh() = refresh.request()

    /** Makes one call to the store and handles the answer. Every answer without changes is followed by a pause. */
    fun step() {
        if (refresh.take()) requireCurrentList("a refresh was requested")
        val since = known
        if (since == null) list() else watch(since)
    }

    private fun requireCurrentList(cause: String) {
        logger.info { "listing ${collection.text} again: $cause" }
        known = null
        mustBeCurrent = true
    }

    private fun list() {
        val allowStale = !mustBeCurrent
        when (val listed = store.list(collection, allowStale)) {
            is ListedCollection.Items -> {
                answered()
                if (allowStale && listed.revision.era > firstStoreEra) {
                    requireCurrentList("a list that may be old may be from before the store was restored")
                } else {
                    logger.info { "listed ${collection.text}: ${listed.items.size} objects at revision ${listed.revision}" }
                    listener.onListed(listed)
                    known = listed.revision
                }
            }
            is ListedCollection.Unavailable -> failed(listed.cause)
        }
    }

    private fun watch(since: StoreRevision) {
        val watchMs = minOf(WATCH_MS, listener.maxWatchMs())
        when (val watched = refresh.interruptible { store.watch(collection, since, watchMs) } ?: return) {
            is WatchedCollection.Events -> {
                answered()
                if (watched.revision.era == since.era) {
                    report(watched)
                } else {
                    requireCurrentList("the answer to a watch from $since is from ${watched.revision}")
                }
            }
            WatchedCollection.HistoryGone -> {
                requireCurrentList("the store no longer has the changes since revision $since")
                pauseUntilRefresh(backoff.nextDelayMs())
            }
            is WatchedCollection.Unavailable -> failed(watched.cause)
        }
    }

    private fun report(watched: WatchedCollection.Events) {
        backoff.reset()
        mustBeCurrent = false
        watched.events.forEach(listener.onChanged)
        known = watched.revision
        listener.onUpToDate(watched.revision)
        // Prevents a busy loop when the store answers watches immediately without changes.
        if (watched.events.isEmpty()) pauseUntilRefresh(EMPTY_PAUSE_MS)
    }

    // Only a watch resets the backoff, because a listing whose history is gone at once would otherwise be repeated in a busy loop.
    private fun answered() {
        if (!isConnected) logger.info { "the store answers for ${collection.text}" }
        isConnected = true
    }

    private fun failed(cause: String) {
        if (isConnected) logger.warn { "the store does not answer for ${collection.text}: $cause" }
        isConnected = false
        pauseUntilRefresh(backoff.nextDelayMs())
    }

    private fun pauseUntilRefresh(durationMs: Long) {
        refresh.interruptible { pause(durationMs) }
    }

    private companion object {
        const val WATCH_MS = 30_000L
        const val FIRST_PAUSE_MS = 100L
        const val MAX_PAUSE_MS = 1_600L
        const val EMPTY_PAUSE_MS = 50L
    }
}
