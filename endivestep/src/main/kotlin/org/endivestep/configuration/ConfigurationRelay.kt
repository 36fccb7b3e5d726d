package org.endivestep.configuration

import org.endivestep.identity.ConfigurationVersion
import org.endivestep.protocol.v1.ConfigurationRecord
import org.endivestep.ring.Duty
import org.endivestep.settings.Address
import org.endivestep.store.ObjectStore
import org.endivestep.store.ObjectVersion
import org.endivestep.store.ReadResult

/** Returns a peer's configuration if it is newer than the version given. */
internal typealias ConfigurationFetch = (Address, ConfigurationVersion) -> ConfigurationRecord?

/**
 * Brings new configurations to this daemon.
 *
 * One duty watches the store while this daemon carries the watch for its data centre, or while it
 * has no configuration at all. Another fetches from peers that have said they have a newer one.
 */
internal class ConfigurationRelay(
    private val store: ObjectStore,
    private val adoption: ConfigurationAdoption,
    private val carriesWatch: () -> Boolean,
    fetch: ConfigurationFetch,
    private val clockMs: () -> Long,
) {
    private val fetcher = ConfigurationFetcher(adoption, fetch, adoption::offerAndLog)
    private var seen: ObjectVersion? = null
    private var duty: Duty? = null

    /** When the store last answered this daemon, 0 before its first answer. */
    @Volatile
    var storeAnsweredMs: Long = 0
        private set

    fun start() {
        duty = Duty.start("configuration-watch", ::watch)
        fetcher.start()
    }

    fun stop() {
        duty?.stop()
        fetcher.stop()
    }

    /** Asks for the configuration of [peer], which has said that it has a newer one. */
    fun fetchFrom(peer: Address) = fetcher.fetchFrom(peer)

    private fun watch() {
        if (!carriesWatch() && adoption.active != null) {
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
                // A store answers at once that there is no object, however long the watch may wait.
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
