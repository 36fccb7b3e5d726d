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
)

/**
 * Follows one collection: lists it, then watches for changes, and lists it again when the store no longer has the changes since then.
 *
 * A list may be old, which costs the store less: the watch that follows returns at once what has changed since. Only when
 * the store no longer has those changes must the next list be current.
 */
internal class CollectionFollower(
    private val store: ObjectCollections,
    private val collection: CollectionName,
    random: RandomGenerator,
    private val listener: CollectionListener,
    private val pause: (Long) -> Unit = Thread::sleep,
) {
    private val backoff = ExponentialBackoff(FIRST_PAUSE_MS, MAX_PAUSE_MS, random)
    private var known: StoreRevision? = null
    private var historyIsGone = false

    @Volatile
    private var refreshing = false
    private var loop: BackgroundLoop? = null

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

    /** Ends the call to the store that is in progress, which may be silent for good, and lists the collection again. */
    fun refresh() {
        refreshing = true
        loop?.interrupt()
    }

    /** Makes one call to the store and handles the answer. Every answer without changes is followed by a pause. */
    fun step() {
        try {
            val since = known
            if (since == null) list() else watch(since)
        } catch (e: InterruptedException) {
            if (!refreshing) throw e
            logger.info { "ending the call to the store for ${collection.text} to list it again" }
            requireCurrentList()
        }
        refreshing = false
    }

    private fun requireCurrentList() {
        known = null
        historyIsGone = true
    }

    private fun list() {
        when (val listed = store.list(collection, allowStale = !historyIsGone)) {
            is ListedCollection.Items -> {
                answered()
                logger.info { "listed ${collection.text}: ${listed.items.size} objects at revision ${listed.revision.number}" }
                listener.onListed(listed)
                known = listed.revision
            }
            is ListedCollection.Unavailable -> failed(listed.cause)
        }
    }

    private fun watch(since: StoreRevision) {
        when (val watched = store.watch(collection, since, WATCH_MS)) {
            is WatchedCollection.Events -> {
                answered()
                backoff.reset()
                historyIsGone = false
                watched.events.forEach(listener.onChanged)
                known = watched.revision
                // Prevents a busy loop when the store answers watches immediately without changes.
                if (watched.events.isEmpty()) pause(EMPTY_PAUSE_MS)
            }
            WatchedCollection.HistoryGone -> {
                logger.info { "the store no longer has the changes of ${collection.text} since revision ${since.number}; listing it again" }
                requireCurrentList()
                pause(backoff.nextDelayMs())
            }
            is WatchedCollection.Unavailable -> failed(watched.cause)
        }
    }

    // Only a watch resets the backoff, because a listing whose history is gone at once would otherwise be repeated in a busy loop.
    private fun answered() {
        if (!isConnected) logger.info { "the store answers for ${collection.text}" }
        isConnected = true
    }

    private fun failed(cause: String) {
        if (isConnected) logger.warn { "the store does not answer for ${collection.text}: $cause" }
        isConnected = false
        pause(backoff.nextDelayMs())
    }

    private companion object {
        const val WATCH_MS = 30_000L
        const val FIRST_PAUSE_MS = 100L
        const val MAX_PAUSE_MS = 1_600L
        const val EMPTY_PAUSE_MS = 50L
    }
}
