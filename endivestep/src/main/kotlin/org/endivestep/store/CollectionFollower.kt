package org.endivestep.store

import io.github.oshai.kotlinlogging.KotlinLogging
import org.endivestep.ring.Duty
import org.endivestep.ring.RetryPacing
import java.util.random.RandomGenerator

private val logger = KotlinLogging.logger {}

/** What a follower learns of its collection. Called on the follower's own thread. */
internal class CollectionListener(
    /** All objects, after the first listing and whenever changes may have been missed. */
    val onListed: (ListedCollection.Items) -> Unit,
    val onChanged: (CollectionEvent) -> Unit,
)

/** Keeps up with one collection: lists it, then waits for changes, and lists it again when the history is gone. */
internal class CollectionFollower(
    private val store: ObjectCollections,
    private val collection: CollectionName,
    random: RandomGenerator,
    private val listener: CollectionListener,
    private val pause: (Long) -> Unit = Thread::sleep,
) {
    private val pacing = RetryPacing(FIRST_PAUSE_MS, MAX_PAUSE_MS, random)
    private var known: StoreRevision? = null
    private var duty: Duty? = null

    /** Whether the last call was answered. */
    @Volatile
    var isConnected = false
        private set

    fun start() {
        duty = Duty.start("follow-${collection.text}", ::step)
    }

    fun stop() {
        duty?.stop()
    }

    /** Makes one call and takes in its answer. Every answer that brings nothing is followed by a pause. */
    fun step() {
        val since = known
        if (since == null) list() else watch(since)
    }

    private fun list() {
        when (val listed = store.list(collection, allowStale = false)) {
            is ListedCollection.Items -> {
                answered()
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
                pacing.reset()
                watched.events.forEach(listener.onChanged)
                known = watched.revision
                // A store that answers a watch at once with nothing must not be asked without end.
                if (watched.events.isEmpty()) pause(EMPTY_PAUSE_MS)
            }
            WatchedCollection.HistoryGone -> {
                logger.info { "the store has forgotten the changes of ${collection.text} since ${since.number}; listing it again" }
                known = null
                pause(pacing.pauseMs())
            }
            is WatchedCollection.Unavailable -> failed(watched.cause)
        }
    }

    // The pace is taken up again only by a watch: a listing whose history is gone at once must not be repeated without end.
    private fun answered() {
        if (!isConnected) logger.info { "the store answers for ${collection.text}" }
        isConnected = true
    }

    private fun failed(cause: String) {
        if (isConnected) logger.warn { "the store does not answer for ${collection.text}: $cause" }
        isConnected = false
        pause(pacing.pauseMs())
    }

    private companion object {
        const val WATCH_MS = 25_000L
        const val FIRST_PAUSE_MS = 100L
        const val MAX_PAUSE_MS = 1_600L
        const val EMPTY_PAUSE_MS = 50L
    }
}
