package org.endivestep.membership

import io.kotest.assertions.withClue
import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.collections.shouldContain
import io.kotest.matchers.ints.shouldBeLessThanOrEqual
import io.kotest.matchers.shouldBe
import org.endivestep.configuration.ConfigurationPosition
import org.endivestep.identity.ConfigurationVersion
import org.endivestep.identity.DataCentreName
import org.endivestep.identity.VmName
import org.endivestep.settings.Address
import java.util.SplittableRandom

/** Daemons without known members on a lossless network; each round delivers the messages sent in the previous round. */
private class NewFleet(size: Int) {
    val nodes = List(size) { node(it, generation = 1) }.toMutableList()
    private var inFlight = emptyList<Pair<Int, GossipAction.Send>>()
    val synchronized = mutableListOf<Address>()
    private var nowMs = 1_000L

    fun announceTo(who: Int, others: Collection<Int>) = queue(who, nodes[who].announceTo(others.map(::address)))

    fun restart(who: Int) {
        nodes[who] = node(who, generation = 2)
    }

    /** Delivers datagrams until none is in flight; returns the number of rounds, at most [maxRounds]. */
    fun deliverAll(maxRounds: Int): Int {
        repeat(maxRounds) { round ->
            if (inFlight.isEmpty()) return round
            val delivered = inFlight
            inFlight = emptyList()
            delivered.forEach { (from, send) -> queue(send.to.port, nodes[send.to.port].receive(send.message, address(from), nowMs)) }
        }
        return maxRounds
    }

    fun tick(who: Int) {
        nowMs += 1_000
        queue(who, nodes[who].tick(nowMs))
    }

    fun known(who: Int): Set<String> = nodes[who].members.filter { it.state == MemberState.ALIVE }.map { it.vm.text }.toSet()

    private fun queue(from: Int, actions: List<GossipAction>) {
        inFlight = inFlight + actions.filterIsInstance<GossipAction.Send>().map { from to it }
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
        ) { ConfigurationPosition(ConfigurationVersion(1)) }
}

class JoinAnnouncementTest :
    FunSpec({
        test("daemons that start at the same time know one another after one round trip") {
            listOf(2, 16, 40).forEach { size ->
                withClue("$size daemons") {
                    val fleet = NewFleet(size)
                    (0 until size).forEach { who -> fleet.announceTo(who, (0 until size) - who) }
                    fleet.deliverAll(2) shouldBeLessThanOrEqual 2
                    (0 until size).forEach { fleet.known(it).size shouldBe size }
                }
            }
        }

        test("the reply to an announcement of an unknown daemon contains the replying daemon's own entry") {
            val fleet = NewFleet(2)
            fleet.announceTo(0, listOf(1))
            fleet.deliverAll(2)
            fleet.known(0) shouldBe setOf("vm-0", "vm-1")
            fleet.known(1) shouldBe setOf("vm-0", "vm-1")
        }

        test("a daemon that restarts while the store is unavailable synchronizes with the first peer that contacts it") {
            val fleet = NewFleet(3)
            (0..2).forEach { who -> fleet.announceTo(who, (0..2) - who) }
            repeat(DISSEMINATION_PERIODS) {
                (0..2).forEach(fleet::tick)
                fleet.deliverAll(10)
            }
            fleet.restart(1)
            repeat(2) {
                fleet.tick(0)
                fleet.deliverAll(10)
            }
            fleet.synchronized shouldContain Address("127.0.0.1", 0)
        }
    })

// Probe periods after which the daemons no longer repeat an update that all of them have received.
private const val DISSEMINATION_PERIODS = 30
