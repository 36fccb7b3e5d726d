package org.endivestep.emulator

import org.endivestep.fakes.LinkFault
import java.util.concurrent.TimeUnit

/** Share of its answers that the worker of a VM spoils. */
internal class SpoiltShare {
    @Volatile
    var share = 0.0
}

/** Brings the faults of a schedule to [fleet] from outside, and records them in [history]. */
internal class SoakFaults(
    private val fleet: PlatformFleet,
    private val network: SoakNetwork,
    private val workers: Map<PlatformNode, SoakWorker>,
    private val spoilt: Map<PlatformNode, SpoiltShare>,
    private val history: SoakHistory,
) {
    /** Plays one series; returns when its last fault has ended. */
    fun play(series: List<SoakFault>) {
        for (fault in series) {
            Thread.sleep(fault.pauseMs)
            play(fault)
        }
    }

    /** Starts daemons that ended by themselves again, as the platform does, until [isOver]; each is a finding. */
    fun supervise(isOver: () -> Boolean) {
        while (!isOver()) {
            Thread.sleep(SUPERVISION_INTERVAL_MS)
            fleet.nodes.forEach { synchronized(it) { restartIfEnded(it) } }
        }
    }

    private fun restartIfEnded(node: PlatformNode) {
        if (node.daemon.isAlive) return
        history.recordFinding(
            "ENDED: the daemon of ${node.vm} ended by itself with ${node.daemon.exitValue()}, ${history.sinceStartMs(
                node,
            )} ms after its start",
        )
        history.disturb(listOf(node)) { start(node) }
    }

    /** Starts the daemon of [node] and records it. */
    fun start(node: PlatformNode) {
        fleet.startDaemon(node)
        history.recordStart(node)
    }

    private fun play(fault: SoakFault) {
        val node = fleet.nodes[fault.target]
        when (fault.kind) {
            FaultKind.DAEMON_STOPPED -> stop(node, fault)
            FaultKind.DAEMON_KILLED -> kill(node, fault)
            FaultKind.DAEMON_PAUSED -> pause(node, fault)
            FaultKind.SETTINGS_REREAD -> signal(node.daemon, "HUP")
            FaultKind.PEERS_DELAYED -> delayPeers(node, fault)
            FaultKind.PEERS_RESET -> history.disturb(fleet.nodes) { network.resetPeers(node) }
            FaultKind.PEERS_CUT_ONE_WAY -> disturbPeers(node, fault, cutOneWay)
            FaultKind.PEERS_SILENCED -> disturbPeers(node, fault, silenced)
            FaultKind.ANSWERS_SPOILT -> spoil(node, fault)
            FaultKind.CONFIGURATION_CHANGED -> configure()
            in FaultSeries.WORKERS.kinds, in FaultSeries.ENDLESS_ANSWERS.kinds -> playOnWorker(workers.getValue(node), fault)
            else -> playOnStore(fault)
        }
    }

    private fun playOnWorker(worker: SoakWorker, fault: SoakFault) {
        when (fault.kind) {
            FaultKind.WORKER_CRASHED -> worker.crash(fault.durationMs, keepsId = fault.severity < 0.5)
            FaultKind.WORKER_NOT_READING -> worker.stopReading(fault.durationMs)
            FaultKind.ANSWERS_WITHOUT_END -> worker.answerWithoutEnd(fault.durationMs)
            else -> error("not a fault of a worker: $fault")
        }
    }

    private fun playOnStore(fault: SoakFault) {
        val affected = if (fault.severity < 0.5) fleet.nodes else listOf(fleet.nodes[fault.target])
        when (fault.kind) {
            FaultKind.STORE_RESET -> history.disturb(emptyList(), affectsStore = true) { network.resetStore(affected) }
            FaultKind.STORE_HISTORY_LOST -> history.disturb(emptyList(), affectsStore = true) { fleet.storeFaults("forget=true") }
            FaultKind.STORE_DELAYED -> disturbStore(affected, fault, LinkFault(delayMs = delayMs(fault)))
            FaultKind.STORE_SILENCED -> disturbStore(affected, fault, silenced.there)
            FaultKind.STORE_ANSWERS_LOST -> disturbStore(affected, fault, LinkFault(discardsResponses = true))
            FaultKind.STORE_RESTORED -> restoreStore(fault)
            FaultKind.STORE_AWAY ->
                disturbStore(affected, fault, LinkFault(refusesConnections = true)) { network.resetStore(affected) }
            else -> error("not a fault of the store: $fault")
        }
    }

    /** Writes the next configuration to the store, as the operator would. */
    @Synchronized
    fun configure() = history.configure(::write)

    private fun write(configuration: Int) = fleet.write("config", "main", SoakConfiguration.text(configuration))

    private fun restoreStore(fault: SoakFault) =
        history.disturb(emptyList(), affectsStore = true) {
            network.disturbStore(fleet.nodes, LinkFault(refusesConnections = true))
            network.resetStore(fleet.nodes)
            Thread.sleep(fault.durationMs / 4)
            restoreAndRewrite(fault)
        }

    // The daemons see the copy before the operator writes the latest configuration again. Meanwhile no other one is written.
    @Synchronized
    private fun restoreAndRewrite(fault: SoakFault) {
        fleet.restoreStore(fault.severity * MAX_COPY_AGE_SECONDS)
        network.disturbStore(fleet.nodes, LinkFault())
        Thread.sleep(fault.durationMs / 8)
        write(history.configurationCount - 1)
    }

    private fun stop(node: PlatformNode, fault: SoakFault) =
        changeProcess(node, isPlanned = true) {
            history.recordStop()
            signal(node.daemon, "TERM")
            if (!node.daemon.waitFor(GRACE_SECONDS, TimeUnit.SECONDS)) node.daemon.destroyForcibly().waitFor()
            Thread.sleep(fault.durationMs / 4)
            start(node)
        }

    private fun kill(node: PlatformNode, fault: SoakFault) =
        changeProcess(node) {
            node.daemon.destroyForcibly().waitFor()
            Thread.sleep(fault.durationMs / 4)
            start(node)
        }

    private fun pause(node: PlatformNode, fault: SoakFault) =
        changeProcess(node) {
            signal(node.daemon, "STOP")
            Thread.sleep(fault.durationMs)
            signal(node.daemon, "CONT")
        }

    private fun changeProcess(node: PlatformNode, isPlanned: Boolean = false, change: () -> Unit) =
        synchronized(node) {
            restartIfEnded(node)
            history.disturb(listOf(node), isPlanned = isPlanned, action = change)
        }

    private fun delayPeers(node: PlatformNode, fault: SoakFault) {
        val delayed = LinkFault(delayMs = delayMs(fault))
        disturbPeers(node, fault, PathFaults(delayed, delayed))
    }

    // The path to a daemon is also part of the path of the others, so the whole fleet counts as disturbed.
    private fun disturbPeers(node: PlatformNode, fault: SoakFault, faults: PathFaults) =
        history.disturb(fleet.nodes) {
            network.disturbPeers(node, faults)
            Thread.sleep(fault.durationMs)
            network.disturbPeers(node, LinkFault().let { PathFaults(it, it) })
        }

    private fun disturbStore(affected: List<PlatformNode>, fault: SoakFault, linkFault: LinkFault, first: () -> Unit = {}) =
        history.disturb(emptyList(), affectsStore = true) {
            network.disturbStore(affected, linkFault)
            first()
            Thread.sleep(fault.durationMs)
            network.disturbStore(affected, LinkFault())
        }

    private fun spoil(node: PlatformNode, fault: SoakFault) {
        spoilt.getValue(node).share = fault.severity
        Thread.sleep(fault.durationMs)
        spoilt.getValue(node).share = 0.0
    }

    private fun delayMs(fault: SoakFault): Long = 1 + (fault.severity * MAX_DELAY_MS).toLong()

    private companion object {
        const val SUPERVISION_INTERVAL_MS = 200L
        const val GRACE_SECONDS = 6L
        const val MAX_DELAY_MS = 400
        const val MAX_COPY_AGE_SECONDS = 10.0
    }
}
