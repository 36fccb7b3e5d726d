package org.endivestep.emulator

import kotlinx.cli.ArgType
import kotlinx.cli.ExperimentalCli
import kotlinx.cli.Subcommand
import kotlinx.cli.default
import kotlinx.cli.required
import sun.misc.Signal
import java.util.UUID
import kotlin.system.exitProcess

private const val SERVER_THREADS = 200

/** Runs the emulated store of the platform until it is killed. */
@OptIn(ExperimentalCli::class)
internal class PlatformStoreCommand : Subcommand("platform-store", "Run the emulated store of the platform") {
    private val port by option(ArgType.Int, description = "Port on loopback").required()

    override fun execute() {
        emulatorServer(port, SERVER_THREADS, PlatformStoreServer().handler).start()
        println("store ready")
    }
}

/** Runs an emulated worker of the platform until SIGTERM, on which it deregisters and exits. */
@OptIn(ExperimentalCli::class)
internal class PlatformWorkerCommand : Subcommand("platform-worker", "Run an emulated worker of the platform") {
    private val port by option(ArgType.Int, description = "Port on loopback").required()
    private val daemon by option(ArgType.String, description = "Address of the daemon for heartbeats, host:port").required()
    private val service by option(ArgType.String, description = "Service").required()
    private val slots by option(ArgType.Int, description = "Requests that run concurrently").default(20)
    private val workMs by option(ArgType.Int, fullName = "work-ms", description = "Service time of a request in ms").default(5)

    override fun execute() {
        val behaviour = PlatformWorkerBehaviour("i-${UUID.randomUUID().toString().take(8)}", slots, workMs.toLong())
        emulatorServer(port, SERVER_THREADS, PlatformWorkerServer(behaviour).handler).start()
        val heartbeats = PlatformHeartbeats("http://$daemon", behaviour, service)
        Signal.handle(Signal("TERM")) {
            heartbeats.leave()
            exitProcess(0)
        }
        heartbeats.start("127.0.0.1:$port")
        println("worker ready")
    }
}
