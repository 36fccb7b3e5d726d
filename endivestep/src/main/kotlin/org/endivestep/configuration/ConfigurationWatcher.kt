package org.endivestep.configuration

import org.endivestep.concurrent.BackgroundLoop
import org.endivestep.protocol.v1.ConfigurationRecord
import org.endivestep.settings.Address
import org.endivestep.store.ObjectStore
import org.endivestep.store.ObjectVersion
import org.endivestep.store.ReadResult

/** Fetches the configuration of a peer; returns null when there is none after the given position. */
internal typealias ConfigurationFetch = (Address, ConfigurationPosition) -> ConfigurationRecord?

/**
 * Receives new configurations from the store and from peers.
 *
 * One thread watches the store while this daemon is assigned the watch for its data centre, or while
 * it has no configuration at all. Another fetches from peers that reported a newer version.
 */
internal class ConfigurationWatcher(
    private val store: ObjectStore,
    private val adoption: ConfigurationAdoption,
    private val isWatchAssigned: () -> Boolean,
    fetch: ConfigurationFetch,
    private val clockMs: () -> Long,
) {
    private val fetcher = ConfigurationFetcher(adoption, fetch, adoption::offerAndLog)
    private var seen: ObjectVersion? = null
    private var loop: BackgroundLoop? = null

    /** Time of the last answer from the store, 0 before the first answer. */
    @Volatile
    var storeAnsweredMs: Long = 0
        private set

    fun start() {
        loop = BackgroundLoop.start("configuration-watch", ::watch)
        fetcher.start()
    }

    fun stop() {
        loop?.stop()
        fetcher.stop()
    }

    /** Queues a fetch from [peer], which reported a newer version. */
    fun fetchFrom(peer: Address) = fetcher.fetchFrom(peer)

    private fun watch() {
        if (!isWatchAssigned() && adoption.active != null) {
            Thread.sleep(IDLE_PAUSE_MS)
            return
        }
        when (val result = store.watch(configurationKey, seen, WATCH_MS)) {
            is ReadResult.Found -> {
                storeAnsweredMs = clockMs()
                seen = result.stored.version
                parseRecord(result.stored.bytes)?.let(adoption::offerAndLog)
            }
            ReadResult.Absent -> {
                storeAnsweredMs = clockMs()
                seen = null
                // The store answers at once that the object is absent, regardless of the watch timeout.
                Thread.sleep(ABSENT_PAUSE_MS)
            }
            is ReadResult.Unavailable -> Thread.sleep(UNAVAILABLE_PAUSE_MS)
        }
    }

    private companion object {
        const val WATCH_MS = 20_000L
        const val IDLE_PAUSE_MS = 500L
        const val UNAVAILABLE_PAUSE_MS = 500L
        const val ABSENT_PAUSE_MS = 500L
    }
}
