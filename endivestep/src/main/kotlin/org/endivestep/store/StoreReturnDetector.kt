package org.endivestep.store

import io.github.oshai.kotlinlogging.KotlinLogging
import org.endivestep.concurrent.BackgroundLoop

private val logger = KotlinLogging.logger {}

/**
 * Detects that the store answers again after it did not.
 *
 * An outage may leave the connections of waiting watches open but silent, so that nothing arrives on them after the store
 * has returned. One daemon of each data centre therefore lists a small [collection] every second, which may be old and
 * costs little, and refreshes its watches when an answer follows a failure; the others hear the changes from it.
 */
internal class StoreReturnDetector(
    private val store: ObjectCollections,
    private val collection: CollectionName,
    private val isAssigned: () -> Boolean,
    private val onReturned: () -> Unit,
    private val pause: (Long) -> Unit = Thread::sleep,
) {
    private var failed = false
    private var loop: BackgroundLoop? = null

    fun start() {
        loop = BackgroundLoop.start("store-return", ::step)
    }

    fun stop() {
        loop?.stop()
    }

    /** Waits for the next check, and makes it if this daemon is assigned to it. */
    fun step() {
        pause(CHECK_INTERVAL_MS)
        if (!isAssigned()) {
            failed = false
            return
        }
        when (val listed = store.list(collection, allowStale = true)) {
            is ListedCollection.Items -> answered()
            is ListedCollection.Unavailable -> notAnswered(listed.cause)
        }
    }

    private fun answered() {
        if (!failed) return
        failed = false
        logger.info { "the store answers again; refreshing the watches" }
        onReturned()
    }

    private fun notAnswered(cause: String) {
        if (!failed) logger.warn { "the store did not answer a check: $cause" }
        failed = true
    }

    private companion object {
        const val CHECK_INTERVAL_MS = 1_000L
    }
}
