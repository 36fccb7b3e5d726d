package org.endivestep.emulator

import kotlinx.cli.ArgType
import kotlinx.cli.ExperimentalCli
import kotlinx.cli.Subcommand
import kotlinx.cli.default
import kotlinx.cli.required
import sun.misc.Signal
import java.util.UUID
import kotlin.system.exitProcess

private const val STORE_THREADS = 400
private const val CRASH_EXIT_CODE = 137

/** Runs the emulated store until it is killed. */
@OptIn(ExperimentalCli::class)
internal class StoreCommand : Subcommand("store", "Run the emulated object store") {
    private val port by option(ArgType.Int, description = "Port on loopback").required()

    override fun execute() {
        emulatorServer(port, STORE_THREADS, StoreServer().handler).start()
        println("store ready")
    }
}

/** Runs an emulated worker until SIGTERM, on which it announces that it is leaving, drains and exits. */
@OptIn(ExperimentalCli::class)
internal class WorkerCommand : Subcommand("worker", "Run an emulated worker") {
    private val port by option(ArgType.Int, description = "Port on loopback").required()
    private val admin by option(ArgType.String, description = "URL of the admin port of the worker's daemon").required()
    private val service by option(ArgType.String, description = "Service").required()
    private val slots by option(ArgType.Int, description = "Requests that run concurrently").default(20)
    private val connections by option(ArgType.Int, description = "Maximum number of connections").default(240)
    private val coldSlots by option(ArgType.Int, fullName = "cold-slots", description = "Concurrent requests when cold").default(4)
    private val warmAfter by option(ArgType.Int, fullName = "warm-after", description = "Answered requests until warm").default(100)
    private val timeMs by option(ArgType.Double, fullName = "time-ms", description = "Service time in ms").default(5.0)

    override fun execute() {
        val behaviour = WorkerBehaviour(service, slots, coldSlots, warmAfter, timeMs)
        val worker = WorkerServer(behaviour) { Runtime.getRuntime().halt(CRASH_EXIT_CODE) }
        emulatorServer(port, connections, worker.handler).start()
        val announcer = Announcer(admin, service, port, UUID.randomUUID().toString())
        Signal.handle(Signal("TERM")) {
            Thread {
                announcer.leave()
                exitProcess(0)
            }.start()
        }
        announcer.start()
        println("worker ready")
    }
}
