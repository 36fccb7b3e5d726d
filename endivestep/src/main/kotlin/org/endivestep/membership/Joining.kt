package org.endivestep.membership

import org.endivestep.concurrent.BackgroundLoop
import org.endivestep.identity.DataCentreName
import org.endivestep.protocol.toInfo
import org.endivestep.protocol.toWire
import org.endivestep.protocol.v1.MembershipState
import org.endivestep.protocol.v1.Rendezvous
import org.endivestep.settings.Address
import org.endivestep.store.ListResult
import org.endivestep.store.ObjectKey
import org.endivestep.store.ObjectStore
import org.endivestep.store.ReadResult

private const val RENDEZVOUS_PREFIX = "rendezvous/"

/** Exchanges full membership tables with a peer; returns null when the peer does not answer. */
internal typealias TableExchange = (Address) -> MembershipState?

/**
 * Discovers other daemons while this daemon knows none: through the seeds of its settings, and through the
 * addresses that a few daemons keep up to date in the store.
 */
internal class Joining(
    private val gossip: Gossip,
    private val seeds: List<Address>,
    private val store: ObjectStore,
    private val exchange: TableExchange,
) {
    private var loops = emptyList<BackgroundLoop>()
    private var lastWritten: Rendezvous? = null

    fun start() {
        loops = listOf(BackgroundLoop.start("join", ::join), BackgroundLoop.start("rendezvous", ::refresh))
    }

    fun stop() = loops.forEach { it.stop() }

    private fun join() {
        if (isAlone()) {
            val reached = (seeds + storedAddresses()).distinct().filter { it != gossip.self.inner }.count(::joinThrough)
            Thread.sleep(if (reached > 0) JOINED_PAUSE_MS else ALONE_PAUSE_MS)
        } else {
            Thread.sleep(JOINED_PAUSE_MS)
        }
    }

    private fun joinThrough(peer: Address): Boolean {
        val state = exchange(peer) ?: return false
        gossip.mergeAll(state.membersList.mapNotNull { it.toInfo() })
        return true
    }

    private fun isAlone(): Boolean = gossip.members.none { it.vm != gossip.self.vm && it.state == MemberState.ALIVE }

    private fun storedAddresses(): List<Address> {
        val keys = (store.list(RENDEZVOUS_PREFIX) as? ListResult.Keys)?.keys.orEmpty()
        return keys.flatMap { key ->
            val found = store.get(key) as? ReadResult.Found
            val members = found?.let { runCatching { Rendezvous.parseFrom(it.stored.bytes).membersList } }
            members?.getOrNull().orEmpty().mapNotNull { it.toInfo()?.inner }
        }
    }

    // The daemon that is assigned this task keeps a few addresses of its data centre in the store.
    private fun refresh() {
        Thread.sleep(REFRESH_MS)
        val alive = gossip.members.filter { it.state == MemberState.ALIVE && it.dataCentre == gossip.self.dataCentre }
        if (gossip.self.vm !in assignedMembers(alive.map { it.vm }, SharedTask.RENDEZVOUS, 1)) return
        val chosen = alive.sortedBy { it.generation }.take(MAX_STORED_ADDRESSES)
        val content = Rendezvous.newBuilder().addAllMembers(chosen.map { it.copy(sequence = 0).toWire() }).build()
        if (content != lastWritten && write(gossip.self.dataCentre, content)) lastWritten = content
    }

    private fun write(dataCentre: DataCentreName, content: Rendezvous): Boolean {
        val key = ObjectKey(RENDEZVOUS_PREFIX + dataCentre.text)
        val result =
            when (val found = store.get(key)) {
                is ReadResult.Found -> store.replaceIfVersion(key, found.stored.version, content.toByteArray())
                ReadResult.Absent -> store.createIfAbsent(key, content.toByteArray())
                is ReadResult.Unavailable -> return false
            }
        return result is org.endivestep.store.WriteResult.Written
    }

    private companion object {
        const val ALONE_PAUSE_MS = 500L
        const val JOINED_PAUSE_MS = 2_000L
        const val REFRESH_MS = 5_000L
        const val MAX_STORED_ADDRESSES = 5
    }
}
