package org.endivestep.membership

import io.kotest.assertions.withClue
import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.shouldBe
import io.kotest.matchers.shouldNotBe
import io.kotest.property.Arb
import io.kotest.property.arbitrary.bind
import io.kotest.property.arbitrary.enum
import io.kotest.property.arbitrary.int
import io.kotest.property.arbitrary.list
import io.kotest.property.arbitrary.long
import io.kotest.property.checkAll
import org.endivestep.configuration.ConfigurationPosition
import org.endivestep.fakes.fuzz
import org.endivestep.identity.ConfigurationVersion
import org.endivestep.identity.DataCentreName
import org.endivestep.identity.VmName
import org.endivestep.settings.Address
import java.util.SplittableRandom

private const val NODES = 5
private const val STEP_MS = 100L

private enum class Step { RUN, PARTITION, HEAL, PAUSE, RESUME, RESTART, LEAVE, CONFIGURE }

private data class Action(val step: Step, val node: Int, val amount: Int)

/** A few protocol instances connected by a lossy in-memory network with simulated time. */
private class GossipModel(seed: Long) {
    private val random = SplittableRandom(seed)
    private var nowMs = 1_000_000L
    private val versions = LongArray(NODES)
    private val nodes = Array(NODES) { node(it, nowMs) }
    private val paused = BooleanArray(NODES)
    private val left = BooleanArray(NODES)
    private var partition = setOf<Int>()
    private val deferred = ArrayDeque<Pair<Int, () -> List<GossipAction>>>()
    private var lossPercent = 10

    init {
        val all = nodes.map { it.self }
        nodes.forEachIndexed { index, node -> deliver(index, node.mergeAll(all, nowMs)) }
    }

    fun apply(action: Action) {
        val who = action.node % NODES
        when (action.step) {
            Step.RUN -> run(action.amount)
            Step.PARTITION -> partition = (0 until NODES).filter { (action.amount shr it) and 1 == 1 }.toSet()
            Step.HEAL -> partition = emptySet()
            Step.PAUSE -> paused[who] = true
            Step.RESUME -> resume(who)
            Step.RESTART -> restart(who)
            Step.LEAVE -> leave(who)
            Step.CONFIGURE -> versions[who] = versions.max() + 1
        }
    }

    /** Checks that after all faults are removed, the nodes that did not leave agree on the members and the configuration. */
    fun finish() {
        partition = emptySet()
        (0 until NODES).forEach(::resume)
        lossPercent = 0
        run(CONVERGENCE_STEPS)
        val remaining = (0 until NODES).filter { !left[it] }
        remaining.forEach { observer ->
            remaining.forEach { subject -> withClue("$observer of $subject") { stateOf(observer, subject) shouldBe MemberState.ALIVE } }
            (0 until NODES).filter { left[it] }.forEach { subject -> stateOf(observer, subject) shouldNotBe MemberState.ALIVE }
            versions[observer] shouldBe remaining.maxOf { versions[it] }
        }
    }

    private fun stateOf(observer: Int, subject: Int): MemberState? =
        nodes[observer].members.firstOrNull { it.vm.text == "vm-$subject" }?.state

    private fun run(steps: Int) =
        repeat(steps) {
            nowMs += STEP_MS
            nodes.indices.filter { !paused[it] && !left[it] }.forEach { deliver(it, nodes[it].tick(nowMs)) }
        }

    private fun resume(who: Int) {
        paused[who] = false
        val received = deferred.filter { it.first == who }
        deferred.removeAll { it.first == who }
        received.forEach { (index, receive) -> deliver(index, receive()) }
    }

    private fun restart(who: Int) {
        if (left[who]) return
        paused[who] = false
        deferred.removeAll { it.first == who }
        versions[who] = 0
        nodes[who] = node(who, nowMs)
        val others = nodes.filterIndexed { index, _ -> index != who && !left[index] }
        deliver(who, nodes[who].mergeAll(others.first().members, nowMs))
    }

    private fun leave(who: Int) {
        if (left.count { it } >= 2 || left[who] || paused[who]) return
        deliver(who, nodes[who].updateSelf { it.copy(state = MemberState.LEFT) })
        left[who] = true
    }

    private fun deliver(from: Int, actions: List<GossipAction>) {
        actions.forEach { action ->
            when (action) {
                is GossipAction.Send -> send(from, action)
                is GossipAction.FetchConfiguration -> fetch(from, action.peer.port)
                is GossipAction.Synchronize -> synchronize(from, action.peer.port)
                is GossipAction.Suspicions, is GossipAction.Overrides, is GossipAction.StoreRestored -> Unit
            }
        }
    }

    private fun send(from: Int, action: GossipAction.Send) {
        val to = action.to.port
        if (isPartitioned(from, to) || left[to] || random.nextInt(100) < lossPercent) return
        val receive = { nodes[to].receive(action.message, Address("127.0.0.1", from), nowMs) }
        if (paused[to]) deferred.addLast(to to receive) else deliver(to, receive())
    }

    private fun fetch(from: Int, peer: Int) {
        if (!isPartitioned(from, peer) && !paused[peer]) versions[from] = maxOf(versions[from], versions[peer])
    }

    private fun synchronize(from: Int, peer: Int) {
        if (isPartitioned(from, peer) || paused[peer] || left[peer]) return
        val mine = nodes[from].members.toList()
        deliver(from, nodes[from].mergeAll(nodes[peer].members.toList(), nowMs))
        deliver(peer, nodes[peer].mergeAll(mine, nowMs))
    }

    private fun isPartitioned(one: Int, other: Int): Boolean = (one in partition) != (other in partition)

    private fun node(index: Int, startMs: Long): GossipProtocol {
        val self =
            MemberInfo(
                vm = VmName("vm-$index"),
                inner = Address("127.0.0.1", index),
                adminPort = 1,
                dataCentre = DataCentreName("haarlem"),
                incarnation = newDaemonIncarnation(startMs, "run"),
                sequence = 1,
                state = MemberState.ALIVE,
                worker = null,
            )
        return GossipProtocol(self, random) { ConfigurationPosition(ConfigurationVersion(versions[index])) }
    }

    private companion object {
        const val CONVERGENCE_STEPS = 2_500
    }
}

private val actions: Arb<Action> = Arb.bind(Arb.enum<Step>(), Arb.int(0 until NODES), Arb.int(1..80), ::Action)

class GossipModelTest :
    FunSpec({
        test("nodes converge after partitions, pauses and restarts") {
            val config = fuzz().copy(iterations = (fuzz().iterations ?: 100) / 10)
            checkAll(config, Arb.list(actions, 1..25), Arb.long()) { sequence, seed ->
                val model = GossipModel(seed)
                sequence.forEach(model::apply)
                model.finish()
            }
        }

        test("an entry of an earlier run does not supersede one of a later run") {
            val earlier = member(generation = 5, sequence = 9, MemberState.DEAD)
            val later = member(generation = 6, sequence = 1, MemberState.ALIVE)
            later.supersedes(earlier) shouldBe true
            earlier.supersedes(later) shouldBe false
        }

        test("a daemon whose clock was set back supersedes its earlier run") {
            val table = MembershipTable(member(generation = 5, sequence = 1, MemberState.ALIVE))
            table.merge(member(generation = 900, sequence = 4, MemberState.ALIVE), nowMs = 0)
            table.self.supersedes(member(generation = 900, sequence = 4, MemberState.LEFT)) shouldBe true
        }
    })

private fun member(generation: Long, sequence: Long, state: MemberState) =
    MemberInfo(
        vm = VmName("vm"),
        inner = Address("127.0.0.1", 1),
        adminPort = 2,
        dataCentre = DataCentreName("haarlem"),
        incarnation = newDaemonIncarnation(generation, "run$generation"),
        sequence = sequence,
        state = state,
        worker = null,
    )
