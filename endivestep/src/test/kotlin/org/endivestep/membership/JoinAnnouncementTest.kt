package org.endivestep.membership

import io.kotest.assertions.withClue
import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.collections.shouldContain
import io.kotest.matchers.ints.shouldBeLessThanOrEqual
import io.kotest.matchers.shouldBe
import org.endivestep.identity.ConfigurationVersion
import org.endivestep.identity.DataCentreName
import org.endivestep.identity.VmName
import org.endivestep.settings.Address
import java.util.SplittableRandom

/** Daemons that know nobody, joined by a network that loses nothing; each round delivers what was sent in the last one. */
private class NewFleet(size: Int) {
    val nodes = List(size) { node(it, generation = 1) }.toMutableList()
    private var underWay = emptyList<Pair<Int, GossipAction.Send>>()
    val synchronized = mutableListOf<Address>()
    private var nowMs = 1_000L

    fun announceTo(who: Int, others: Collection<Int>) = queue(who, nodes[who].announceTo(others.map(::address)))

    fun restart(who: Int) {
        nodes[who] = node(who, generation = 2)
    }

    /** Delivers datagrams until none is under way; returns the number of rounds, at most [most]. */
    fun settle(most: Int): Int {
        repeat(most) { round ->
            if (underWay.isEmpty()) return round
            val delivered = underWay
            underWay = emptyList()
            delivered.forEach { (from, send) -> queue(send.to.port, nodes[send.to.port].receive(send.message, address(from), nowMs)) }
        }
        return most
    }

    fun tick(who: Int) {
        nowMs += 1_000
        queue(who, nodes[who].tick(nowMs))
    }

    fun known(who: Int): Set<String> = nodes[who].members.filter { it.state == MemberState.ALIVE }.map { it.vm.text }.toSet()

    private fun queue(from: Int, actions: List<GossipAction>) {
        underWay = underWay + actions.filterIsInstance<GossipAction.Send>().map { from to it }
        synchronized += actions.filterIsInstance<GossipAction.Synchronize>().map { it.peer }
    }

    private fun address(index: Int) = Address("127.0.0.1", index)

    private fun node(index: Int, generation: Long) =
        GossipProtocol(
            MemberInfo(
                vm = VmName("vm-$index"),
                inner = address(index),
                adminPort = 0,
                dataCentre = DataCentreName("haarlem"),
                incarnation = newDaemonIncarnation(generation, "run"),
                sequence = 1,
                state = MemberState.ALIVE,
                worker = null,
            ),
            SplittableRandom(index.toLong()),
        ) { ConfigurationVersion(1) }
}

class JoinAnnouncementTest :
    FunSpec({
        test("daemons that all start at once know one another after one exchange of datagrams") {
            listOf(2, 16, 40).forEach { size ->
                withClue("$size daemons") {
                    val fleet = NewFleet(size)
                    (0 until size).forEach { who -> fleet.announceTo(who, (0 until size) - who) }
                    fleet.settle(2) shouldBeLessThanOrEqual 2
                    (0 until size).forEach { fleet.known(it).size shouldBe size }
                }
            }
        }

        test("an announcement of a daemon that nobody knows is answered with the answerer's own statement") {
            val fleet = NewFleet(2)
            fleet.announceTo(0, listOf(1))
            fleet.settle(2)
            fleet.known(0) shouldBe setOf("vm-0", "vm-1")
            fleet.known(1) shouldBe setOf("vm-0", "vm-1")
        }

        test("a daemon that started again while the store is away asks the first peer that it hears from") {
            val fleet = NewFleet(3)
            (0..2).forEach { who -> fleet.announceTo(who, (0..2) - who) }
            repeat(NEWS_ENDS_AFTER_PERIODS) {
                (0..2).forEach(fleet::tick)
                fleet.settle(10)
            }
            fleet.restart(1)
            repeat(2) {
                fleet.tick(0)
                fleet.settle(10)
            }
            fleet.synchronized shouldContain Address("127.0.0.1", 0)
        }
    })

// After so many probes nobody repeats what all have heard.
private const val NEWS_ENDS_AFTER_PERIODS = 30
