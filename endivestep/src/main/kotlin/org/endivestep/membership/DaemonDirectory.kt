package org.endivestep.membership

import io.github.oshai.kotlinlogging.KotlinLogging
import org.endivestep.ring.Duty
import org.endivestep.ring.RetryPacing
import org.endivestep.settings.Address
import org.endivestep.store.CollectionItem
import org.endivestep.store.CollectionName
import org.endivestep.store.ListedCollection
import org.endivestep.store.ObjectCollections
import org.endivestep.store.WriteResult
import java.util.random.RandomGenerator

private val logger = KotlinLogging.logger {}

/**
 * Finds other daemons through the store: each keeps its address there in an object of its own, and
 * one that starts reads all of them and announces itself to those it does not know yet. After that
 * gossip keeps the members up to date, and the store is read rarely.
 */
internal class DaemonDirectory(
    private val store: ObjectCollections,
    private val gossip: Gossip,
    private val random: RandomGenerator,
    private val exchange: (Address) -> Unit,
) {
    private val registering = RetryPacing(FIRST_PAUSE_MS, MAX_PAUSE_MS, random)
    private val duties = mutableListOf<Duty>()
    private var registered = false
    private var readings = 0

    fun start() {
        duties += Duty.start("directory-register", ::register)
        duties += Duty.start("directory-read", ::read)
    }

    fun stop() = duties.forEach { it.stop() }

    private fun register() {
        if (registered) {
            Thread.sleep(RARELY_MS)
            return
        }
        when (val result = store.write(collection, gossip.self.vm.text, gossip.self.inner.toString())) {
            is WriteResult.Written -> {
                registered = true
                logger.info { "registered at ${gossip.self.inner}" }
            }
            WriteResult.Conflict -> Thread.sleep(registering.pauseMs())
            is WriteResult.Unknown -> {
                logger.warn { "cannot register: ${result.cause}" }
                Thread.sleep(registering.pauseMs())
            }
        }
    }

    // The first readings come in quick succession, because daemons that start together register at about the same time.
    private fun read() {
        val pauseMs = if (readings < pausesMs.size) pausesMs[readings] else RARELY_MS
        Thread.sleep(pauseMs / 2 + random.nextLong(pauseMs))
        val listed = store.list(collection, allowStale = true)
        if (listed is ListedCollection.Items) {
            readings++
            val strangers = strangers(listed.items).shuffled(java.util.Random(random.nextLong()))
            gossip.announceTo(strangers.take(MAX_ANNOUNCED))
            // The rest of a large fleet is heard of from one of them.
            if (strangers.size > MAX_ANNOUNCED) exchange(strangers.first())
        } else {
            logger.warn { "cannot read the addresses of other daemons: $listed" }
            Thread.sleep(FIRST_PAUSE_MS)
        }
    }

    private fun strangers(items: List<CollectionItem>): List<Address> {
        val known = gossip.members.filter { it.state == MemberState.ALIVE }.map { it.inner }.toSet()
        return items.mapNotNull { addressOf(it.text) }.filter { it !in known }
    }

    private fun addressOf(text: String): Address? {
        val port = text.substringAfterLast(':', "").toIntOrNull() ?: return null
        return Address(text.substringBeforeLast(':'), port)
    }

    private companion object {
        val collection = CollectionName("daemons")
        val pausesMs = longArrayOf(20, 400, 800, 1_500, 3_000, 8_000)
        const val FIRST_PAUSE_MS = 300L
        const val MAX_PAUSE_MS = 3_000L
        const val RARELY_MS = 120_000L
        const val MAX_ANNOUNCED = 64
    }
}
