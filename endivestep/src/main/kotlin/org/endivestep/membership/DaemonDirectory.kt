package org.endivestep.membership

import io.github.oshai.kotlinlogging.KotlinLogging
import org.endivestep.concurrent.BackgroundLoop
import org.endivestep.concurrent.ExponentialBackoff
import org.endivestep.settings.Address
import org.endivestep.settings.parseAddress
import org.endivestep.store.CollectionItem
import org.endivestep.store.CollectionName
import org.endivestep.store.ListedCollection
import org.endivestep.store.ObjectCollections
import org.endivestep.store.WriteResult
import org.endivestep.store.firstStoreEra
import java.util.concurrent.Semaphore
import java.util.random.RandomGenerator

private val logger = KotlinLogging.logger {}

/**
 * Discovers other daemons through the store. Each daemon registers its address there in an object of its own; a
 * daemon that starts reads all addresses and announces itself to the daemons that it does not know yet. From then
 * on gossip keeps the membership up to date, and the store is read rarely.
 */
internal class DaemonDirectory(
    private val store: ObjectCollections,
    private val gossip: Gossip,
    private val random: RandomGenerator,
    private val synchronize: (Address) -> Unit,
) {
    private val registrationBackoff = ExponentialBackoff(FIRST_PAUSE_MS, MAX_PAUSE_MS, random)
    private val loops = mutableListOf<BackgroundLoop>()
    private val registrations = Semaphore(0)
    private var registered = false
    private var recalled = false
    private var readCount = 0

    fun start() {
        loops += BackgroundLoop.start("directory-register", ::register)
        loops += BackgroundLoop.start("directory-read", ::read)
    }

    fun stop() = loops.forEach { it.stop() }

    /** Writes the address of this daemon again if the store has lost it, because the store was restored from a copy. */
    fun registerAgain() = registrations.release()

    private fun register() {
        if (registered) awaitRequest() else recallRegistration()
        if (registered) return
        when (val result = store.write(collection, gossip.self.vm.text, gossip.self.inner.toString())) {
            is WriteResult.Written -> {
                registered = true
                logger.info { "registered address ${gossip.self.inner} in the store" }
            }
            WriteResult.Conflict -> Thread.sleep(registrationBackoff.nextDelayMs())
            is WriteResult.Unknown -> {
                logger.warn { "failed to register the address of this daemon in the store, retrying: ${result.cause}" }
                Thread.sleep(registrationBackoff.nextDelayMs())
            }
        }
    }

    // The address of a VM stays the same over a restart of its daemon, and a list that may be old costs the store less than a write.
    private fun recallRegistration() {
        if (recalled) return
        recalled = true
        val listed = store.list(collection, allowStale = true)
        // An old list may be from before a restore that lost the address.
        registered = listed is ListedCollection.Items && listed.revision.era == firstStoreEra && listed.items.any(::isOwnAddress)
        if (registered) logger.info { "the store has the address ${gossip.self.inner} of an earlier run" }
    }

    // Each daemon waits for another time, so that they don't all call a store that has just returned at the same moment.
    private fun awaitRequest() {
        registrations.acquire()
        Thread.sleep(random.nextLong(MAX_PAUSE_MS))
        registrations.drainPermits()
        val listed = store.list(collection, allowStale = false)
        registered = listed is ListedCollection.Items && listed.items.any(::isOwnAddress)
        if (!registered) logger.info { "registering the address of this daemon again: the restored store does not have it" }
    }

    private fun isOwnAddress(item: CollectionItem): Boolean =
        item.name == gossip.self.vm.text && item.text == gossip.self.inner.toString()

    // The first reads follow each other quickly, because daemons that start together register at about the same time.
    private fun read() {
        val pauseMs = if (readCount < initialPausesMs.size) initialPausesMs[readCount] else REFRESH_INTERVAL_MS
        Thread.sleep(pauseMs / 2 + random.nextLong(pauseMs))
        val listed = store.list(collection, allowStale = true)
        if (listed is ListedCollection.Items) {
            readCount++
            val unknown = unknownAddresses(listed.items).shuffled(java.util.Random(random.nextLong()))
            gossip.announceTo(unknown.take(MAX_ANNOUNCEMENTS))
            // The remaining members of a large fleet are learned by exchanging tables with one of these daemons.
            if (unknown.size > MAX_ANNOUNCEMENTS) synchronize(unknown.first())
        } else {
            logger.warn { "failed to read the addresses of other daemons from the store, retrying: $listed" }
            Thread.sleep(FIRST_PAUSE_MS)
        }
    }

    private fun unknownAddresses(items: List<CollectionItem>): List<Address> {
        val known = gossip.members.filter { it.state == MemberState.ALIVE }.map { it.inner }.toSet()
        return items.mapNotNull(::addressOf).filter { it !in known }
    }

    private fun addressOf(item: CollectionItem): Address? {
        val address = parseAddress(item.text)
        if (address == null) logger.warn { "ignoring the entry ${item.name}: it states no host and port" }
        return address
    }

    private companion object {
        val collection = CollectionName("daemons")
        val initialPausesMs = longArrayOf(20, 400, 800, 1_500, 3_000, 8_000)
        const val FIRST_PAUSE_MS = 300L
        const val MAX_PAUSE_MS = 3_000L
        const val REFRESH_INTERVAL_MS = 120_000L
        const val MAX_ANNOUNCEMENTS = 64
    }
}
