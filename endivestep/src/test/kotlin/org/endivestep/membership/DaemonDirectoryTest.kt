package org.endivestep.membership

import io.kotest.assertions.nondeterministic.eventually
import io.kotest.assertions.withClue
import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.ints.shouldBeGreaterThanOrEqual
import io.kotest.matchers.shouldBe
import org.endivestep.configuration.noPosition
import org.endivestep.identity.DataCentreName
import org.endivestep.identity.VmName
import org.endivestep.protocol.GossipCodec
import org.endivestep.protocol.PeerAuthentication
import org.endivestep.settings.Address
import org.endivestep.store.CollectionItem
import org.endivestep.store.CollectionName
import org.endivestep.store.ListedCollection
import org.endivestep.store.ObjectCollections
import org.endivestep.store.ObjectVersion
import org.endivestep.store.StoreRevision
import org.endivestep.store.WatchedCollection
import org.endivestep.store.WriteResult
import java.net.DatagramPacket
import java.net.DatagramSocket
import java.net.InetAddress
import java.util.SplittableRandom
import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.atomic.AtomicInteger
import kotlin.time.Duration.Companion.seconds

private const val COPIES = 20

private class AddressStore : ObjectCollections {
    val addresses = ConcurrentHashMap<String, String>()
    val writes = AtomicInteger()
    val currentLists = AtomicInteger()
    val lists = AtomicInteger()

    override fun list(collection: CollectionName, allowStale: Boolean): ListedCollection {
        if (!allowStale) currentLists.incrementAndGet()
        lists.incrementAndGet()
        return ListedCollection.Items(addresses.map { CollectionItem(it.key, StoreRevision(1), it.value) }, StoreRevision(1))
    }

    override fun watch(collection: CollectionName, since: StoreRevision, timeoutMs: Long): WatchedCollection = error("not watched")

    override fun write(collection: CollectionName, name: String, text: String): WriteResult {
        addresses[name] = text
        writes.incrementAndGet()
        return WriteResult.Written(ObjectVersion("1"))
    }
}

private fun gossip(): Gossip {
    val self =
        MemberInfo(
            vm = VmName("vm-1"),
            inner = Address("127.0.0.1", 7_001),
            adminPort = 0,
            dataCentre = DataCentreName("haarlem"),
            incarnation = newDaemonIncarnation(1, "run"),
            sequence = 1,
            state = MemberState.ALIVE,
            worker = null,
        )
    val protocol = GossipProtocol(self, SplittableRandom(1)) { noPosition }
    return Gossip(protocol, GossipCodec(PeerAuthentication("secret")), DatagramSocket(0), { 0 }) { }
}

class DaemonDirectoryTest :
    FunSpec({
        // Guards against a daemon that cannot be found because a restore of the store has lost its address.
        test("an address is written again only if a restored store has lost it") {
            class Case(val name: String, val stored: String?, val writes: Int)
            listOf(
                Case("lost", null, 2),
                Case("an earlier address", "127.0.0.1:6000", 2),
                Case("still there", "127.0.0.1:7001", 1),
            ).forEach { case ->
                val store = AddressStore()
                val directory = DaemonDirectory(store, gossip(), SplittableRandom(1)) { }
                directory.start()
                eventually(5.seconds) { store.writes.get() shouldBe 1 }
                store.addresses.clear()
                case.stored?.let { store.addresses["vm-1"] = it }
                directory.registerAgain()
                eventually(8.seconds) { store.currentLists.get() shouldBe 1 }
                eventually(3.seconds) {
                    withClue(case.name) {
                        store.writes.get() shouldBe case.writes
                        store.addresses["vm-1"] shouldBe "127.0.0.1:7001"
                    }
                }
                directory.stop()
            }
        }

        // Guards against writes of every daemon at the moment when all of them restart.
        test("a daemon writes its address only if the store does not have it") {
            class Case(val name: String, val stored: String?, val writes: Int)
            listOf(
                Case("a new daemon", null, 1),
                Case("a daemon whose VM has moved", "127.0.0.1:6000", 1),
                Case("a daemon that starts again", "127.0.0.1:7001", 0),
            ).forEach { case ->
                val store = AddressStore()
                case.stored?.let { store.addresses["vm-1"] = it }
                val directory = DaemonDirectory(store, gossip(), SplittableRandom(1)) { }
                directory.start()
                // The first lists are made by the registration and by the reader.
                eventually(5.seconds) { store.lists.get() shouldBeGreaterThanOrEqual 2 }
                eventually(2.seconds) { withClue(case.name) { store.addresses["vm-1"] shouldBe "127.0.0.1:7001" } }
                withClue(case.name) { store.writes.get() shouldBe case.writes }
                directory.stop()
            }
        }

        // Guards against entries that state no usable address keeping a daemon from announcing itself to the others.
        test("an odd address of another writer does not hide the daemons beside it") {
            val odd = listOf("", "10.0.0.1:70000", "10.0.0.1:-1", "10.0.0.1:0", "10.0.0.1:99999999999", "somewhere:7001", "[".repeat(99))
            DatagramSocket(0, InetAddress.getLoopbackAddress()).use { daemon ->
                val store = AddressStore()
                // So many that one of them comes before the good address in whatever order they are tried.
                repeat(COPIES) { copy -> odd.forEachIndexed { index, text -> store.addresses["odd-$copy-$index"] = text } }
                store.addresses["vm-2"] = "127.0.0.1:${daemon.localPort}"
                val gossip = gossip()
                val directory = DaemonDirectory(store, gossip, SplittableRandom(1)) { }
                gossip.start()
                directory.start()
                daemon.soTimeout = 5_000
                daemon.receive(DatagramPacket(ByteArray(65_536), 65_536))
                directory.stop()
                gossip.stop()
            }
        }
    })
