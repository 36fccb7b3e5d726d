package org.endivestep.configuration

import io.github.oshai.kotlinlogging.KotlinLogging
import org.endivestep.protocol.v1.ConfigurationRecord
import org.endivestep.ring.Duty
import org.endivestep.ring.Ring
import org.endivestep.settings.Address
import java.util.concurrent.ConcurrentHashMap

private val logger = KotlinLogging.logger {}

/** Fetches the configuration of peers that have said that they have a newer one, on a thread of its own. */
internal class ConfigurationFetcher(
    private val adoption: ConfigurationAdoption,
    private val fetch: ConfigurationFetch,
    private val onFetched: (ConfigurationRecord) -> Unit,
) {
    private val fetches = Ring<Address>(RING_CAPACITY)
    private val queued = ConcurrentHashMap.newKeySet<Address>()
    private var duty: Duty? = null

    fun start() {
        duty = Duty.start("configuration-fetch", ::fetchNext)
    }

    fun stop() {
        duty?.stop()
    }

    /** Asks for the configuration of [peer]; a request that is already waiting is not repeated. */
    fun fetchFrom(peer: Address) {
        if (queued.add(peer) && !fetches.offer(peer)) queued.remove(peer)
    }

    private fun fetchNext() {
        val peer = fetches.poll(POLL_MS) ?: return
        queued.remove(peer)
        fetch(peer, adoption.version)?.let(onFetched)
    }

    private companion object {
        const val RING_CAPACITY = 64
        const val POLL_MS = 10_000L
    }
}

/** Offers [record] for adoption and logs what came of it. */
internal fun ConfigurationAdoption.offerAndLog(record: ConfigurationRecord) {
    when (val adoption = offer(record)) {
        is Adoption.Adopted -> logger.info { "configuration version ${record.version} is in force" }
        is Adoption.Unreadable -> logger.error { "configuration version ${record.version}: ${adoption.findings}" }
        Adoption.Conflicting -> logger.error { "two changes claim configuration version ${record.version}" }
        Adoption.NotNewer -> Unit
    }
}
