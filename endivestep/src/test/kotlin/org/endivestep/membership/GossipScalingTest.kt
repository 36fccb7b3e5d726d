package org.endivestep.membership

import io.kotest.assertions.withClue
import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.doubles.shouldBeLessThan
import org.endivestep.configuration.ConfigurationPosition
import org.endivestep.identity.ConfigurationVersion
import org.endivestep.identity.DataCentreName
import org.endivestep.identity.ServiceName
import org.endivestep.identity.VmName
import org.endivestep.identity.WorkerIncarnation
import org.endivestep.protocol.GossipCodec
import org.endivestep.protocol.PeerAuthentication
import org.endivestep.settings.Address
import java.lang.management.ManagementFactory
import java.util.PriorityQueue
import java.util.SplittableRandom

private const val STEP_MS = 50L
private const val STEADY_MS = 30_000L
private const val DELAY_MS = 10L
private const val TARGET_BYTES_PER_SECOND = 6_000.0
private const val TARGET_SPREAD_SECONDS = 18.0

/** Members that gossip in one thread over a network that delays but does not lose messages; counts what they send. */
private class GossipSimulation(private val size: Int) {
    private class Delivery(val atMs: Long, val to: Int, val from: Int, val message: GossipMessage)

    private val random = SplittableRandom(7)
    private val codec = GossipCodec(PeerAuthentication("a secret of the tests"))
    private val versions = LongArray(size)
    private val nodes = Array(size, ::node)
    private val inFlight = PriorityQueue<Delivery>(compareBy { it.atMs })
    private var nowMs = 1_000_000L
    private var bytes = 0L
    private var messages = 0L
    private var countsBytes = false

    init {
        val all = nodes.map { it.self }
        nodes.forEachIndexed { index, node -> perform(index, node.mergeAll(all, nowMs)) }
        // The entries of the start are disseminated before anything is counted.
        advance(STEADY_MS)
    }

    fun report(): ScalingRow {
        messages = 0
        bytes = 0
        countsBytes = true
        val cpuBefore = cpuNanos()
        advance(STEADY_MS)
        val cpu = cpuNanos() - cpuBefore
        val steady = Triple(messages, bytes, cpu)
        countsBytes = false
        return ScalingRow(
            size = size,
            messagesPerSecond = steady.first / memberSeconds(),
            bytesPerSecond = steady.second / memberSeconds(),
            coreShare = steady.third / memberSeconds() / 1e9,
            versionSpreadSeconds = versionSpreadSeconds(),
            leaveSpreadSeconds = leaveSpreadSeconds(),
        )
    }

    private fun versionSpreadSeconds(): Double {
        versions[0] = 1
        perform(0, nodes[0].pushUpdate())
        return secondsUntil { versions.all { it == 1L } }
    }

    private fun leaveSpreadSeconds(): Double {
        perform(1, nodes[1].updateSelf { it.copy(worker = it.worker?.copy(serving = false)) })
        return secondsUntil { nodes.all { node -> node.members.first { it.vm.text == "vm-1" }.worker?.serving == false } }
    }

    private fun secondsUntil(condition: () -> Boolean): Double {
        val startMs = nowMs
        while (!condition() && nowMs - startMs < 120_000) advance(STEP_MS)
        return (nowMs - startMs) / 1_000.0
    }

    private fun memberSeconds(): Double = size * STEADY_MS / 1_000.0

    private fun advance(durationMs: Long) {
        val untilMs = nowMs + durationMs
        while (nowMs < untilMs) {
            nowMs += STEP_MS
            nodes.forEachIndexed { index, node -> perform(index, node.tick(nowMs)) }
            while (inFlight.isNotEmpty() && inFlight.peek().atMs <= nowMs) deliver(inFlight.poll())
        }
    }

    private fun deliver(delivery: Delivery) =
        perform(delivery.to, nodes[delivery.to].receive(delivery.message, Address("127.0.0.1", delivery.from), nowMs))

    private fun perform(from: Int, actions: List<GossipAction>) =
        actions.forEach { action ->
            when (action) {
                is GossipAction.Send -> send(from, action)
                is GossipAction.FetchConfiguration -> fetch(from, action.peer.port)
                is GossipAction.Synchronize, is GossipAction.Suspicions, is GossipAction.Overrides, is GossipAction.StoreRestored -> Unit
            }
        }

    private fun fetch(from: Int, peer: Int) {
        if (versions[from] >= versions[peer]) return
        versions[from] = versions[peer]
        perform(from, nodes[from].pushUpdate())
    }

    private fun send(from: Int, action: GossipAction.Send) {
        messages++
        if (countsBytes) {
            val encoded = codec.encode(action.message)
            bytes += encoded.size
            checkNotNull(codec.decode(encoded))
        }
        inFlight += Delivery(nowMs + DELAY_MS, action.to.port, from, action.message)
    }

    private fun cpuNanos(): Long = ManagementFactory.getThreadMXBean().currentThreadCpuTime

    private fun node(index: Int): GossipProtocol {
        val self =
            MemberInfo(
                vm = VmName("vm-$index"),
                inner = Address("127.0.0.1", index),
                adminPort = 9_003,
                dataCentre = DataCentreName("centre-${index % 8}"),
                incarnation = newDaemonIncarnation(1_764_800_000_000, "0123456789abcdef01234567"),
                sequence = 1,
                state = MemberState.ALIVE,
                worker = WorkerInfo(ServiceName("service-${index % 110}"), WorkerIncarnation("run-$index"), serving = true),
            )
        return GossipProtocol(self, random) { ConfigurationPosition(ConfigurationVersion(versions[index])) }
    }
}

/** Costs are per member; spreads are the seconds until all members know an update. */
private data class ScalingRow(
    val size: Int,
    val messagesPerSecond: Double,
    val bytesPerSecond: Double,
    val coreShare: Double,
    val versionSpreadSeconds: Double,
    val leaveSpreadSeconds: Double,
)

class GossipScalingTest :
    FunSpec({
        test("gossip traffic and dissemination time stay within the targets at every fleet size") {
            println("members messages/s bytes/s core-share version-spread-s leave-spread-s")
            listOf(10, 30, 100, 300, 1_100).forEach { size ->
                val row = GossipSimulation(size).report()
                println(
                    "%d %.2f %.0f %.5f %.2f %.2f".format(
                        row.size,
                        row.messagesPerSecond,
                        row.bytesPerSecond,
                        row.coreShare,
                        row.versionSpreadSeconds,
                        row.leaveSpreadSeconds,
                    ),
                )
                withClue(size) {
                    row.bytesPerSecond shouldBeLessThan TARGET_BYTES_PER_SECOND
                    row.versionSpreadSeconds shouldBeLessThan TARGET_SPREAD_SECONDS
                    row.leaveSpreadSeconds shouldBeLessThan TARGET_SPREAD_SECONDS
                }
            }
        }
    })
