package org.endivestep.configuration

import io.github.oshai.kotlinlogging.KotlinLogging
import org.endivestep.concurrent.BackgroundLoop
import org.endivestep.concurrent.MpscQueue
import org.endivestep.protocol.v1.ConfigurationRecord
import org.endivestep.settings.Address
import java.util.concurrent.ConcurrentHashMap

private val logger = KotlinLogging.logger {}

/** Fetches configurations from peers that reported a newer version, on a dedicated thread. */
internal class ConfigurationFetcher(
    private val adoption: ConfigurationAdoption,
    private val fetch: ConfigurationFetch,
    private val onFetched: (ConfigurationRecord) -> Unit,
) {
    private val fetches = MpscQueue<Address>(QUEUE_CAPACITY)
    private val queued = ConcurrentHashMap.newKeySet<Address>()
    private var loop: BackgroundLoop? = null

    fun start() {
        loop = BackgroundLoop.start("configuration-fetch", ::fetchNext)
    }

    fun stop() {
        loop?.stop()
    }

    /** Queues a fetch from [peer]; a fetch that is already queued is not repeated. */
    fun fetchFrom(peer: Address) {
        if (queued.add(peer) && !fetches.offer(peer)) queued.remove(peer)
    }

    private fun fetchNext() {
        val peer = fetches.poll(POLL_MS) ?: return
        queued.remove(peer)
        fetch(peer, adoption.position)?.let(onFetched)
    }

    private companion object {
        const val QUEUE_CAPACITY = 64
        const val POLL_MS = 10_000L
    }
}

/** Offers [record] for adoption and logs the result. */
internal fun ConfigurationAdoption.offerAndLog(record: ConfigurationRecord) {
    when (val adoption = offer(record)) {
        is Adoption.Adopted -> logger.info {
            "configuration version ${record.version}, store revision ${record.position.revision}, is in force"
        }
        is Adoption.Unreadable -> logger.error { "cannot parse configuration version ${record.version}, ignoring it: ${adoption.findings}" }
        Adoption.Conflicting -> logger.error {
            "ignoring a second change with configuration version ${record.version}, revision ${record.position.revision}"
        }
        Adoption.NotNewer -> Unit
    }
}
