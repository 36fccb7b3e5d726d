package org.endivestep.emulator

import java.io.File
import java.util.Random
import kotlin.concurrent.thread

/** One run of the fault soak: a fleet of real daemons, callers, and the faults that are drawn from [seed]. */
internal class SoakRun(private val seed: Long, private val faultsMs: Long) {
    private val nodes =
        listOf(
            PlatformNode("stock-a", "a", "stock"),
            PlatformNode("orders-a", "a", "orders"),
            PlatformNode("stock-b", "b", "stock"),
            PlatformNode("orders-b", "b", "orders"),
        )
    private val schedule = SoakSchedule.draw(seed, faultsMs)
    private val history = SoakHistory()
    private val spoilt = nodes.associateWith { SpoiltShare() }
    private val workers =
        nodes.associateWith { node ->
            val random = Random(seed * nodes.size + nodes.indexOf(node))
            SoakWorker(node) { drawAnswerFault(random, spoilt.getValue(node).share) }
        }

    @Volatile
    private var isOver = false

    /** Runs to the end and returns the broken promises; if there are any, the logs are kept in [logs]. */
    fun findings(logs: File): List<String> {
        val storePort = freePorts(1).first()
        val network = SoakNetwork(nodes, storePort)
        PlatformFleet(nodes, network.asFleetNetwork, storePort).use { fleet ->
            network.use {
                workers.values.forEach { it.start() }
                val failure = runCatching { play(fleet, SoakFaults(fleet, network, workers, spoilt, history)) }.exceptionOrNull()
                isOver = true
                workers.values.forEach { it.close() }
                val findings =
                    listOfNotNull(failure?.let { "RECOVER: $it" }) + SoakRules(history, workers.mapValues { it.value.runs }).findings()
                if (findings.isNotEmpty()) keep(fleet, logs, findings)
                return findings
            }
        }
    }

    fun summary(): String {
        val succeeded = history.requests.count { it.succeeded }
        val runs = workers.values.flatMap { it.runs }
        return "requests=${history.requests.size} succeeded=$succeeded runs=${runs.size} spoilt=${runs.count { it.fault != null }} " +
            "configurations=${history.configurationCount} faults=${schedule.series.entries.joinToString(",") {
                "${it.key}:${it.value.size}"
            }}"
    }

    private fun drawAnswerFault(random: Random, share: Double): AnswerFault? =
        if (random.nextDouble() < share) AnswerFault.entries[random.nextInt(AnswerFault.entries.size)] else null

    private fun play(fleet: PlatformFleet, faults: SoakFaults) {
        fleet.startStore()
        nodes.forEach(faults::start)
        faults.configure()
        awaitCondition("all daemons are ready") { nodes.all(fleet::isReady) }
        val observers = listOf(thread { history.measureStalls { isOver } }, thread { faults.supervise { isOver } })
        val callers = nodes.flatMap { node -> List(CALLERS_PER_VM) { caller(node, it) } }.map { thread { it.run { isOver } } }
        try {
            awaitService("before the first fault")
            schedule.series.values.map { thread { faults.play(it) } }.forEach { it.join() }
            awaitService("after the last fault")
        } finally {
            isOver = true
            (callers + observers).forEach { it.join() }
        }
        // A request that was refused must not run later either.
        Thread.sleep(SoakCaller.DEADLINE_MS.toLong())
    }

    private fun caller(node: PlatformNode, number: Int): SoakCaller {
        val name = "s$seed-${node.vm}-$number"
        return SoakCaller(name, node, Random(name.hashCode().toLong()), history)
    }

    /** Waits until every daemon has served a read and an order that were sent from now on. */
    private fun awaitService(moment: String) {
        val fromNanos = System.nanoTime()
        awaitCondition("all daemons serve requests $moment", RECOVERY_SECONDS) {
            val served = history.requests.filter { it.startNanos > fromNanos && it.succeeded }.map { it.node to it.isIdempotent }.toSet()
            served.size == 2 * nodes.size
        }
    }

    private fun keep(fleet: PlatformFleet, logs: File, findings: List<String>) {
        fleet.keepLogs(logs)
        File(logs, "findings.txt").writeText(findings.joinToString("\n") + "\n")
        File(logs, "schedule.txt").writeText("$schedule\n")
    }

    private companion object {
        const val CALLERS_PER_VM = 3

        /** Time after the end of all faults until which requests are served again. */
        const val RECOVERY_SECONDS = 15L
    }
}
