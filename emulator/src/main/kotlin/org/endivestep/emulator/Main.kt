package org.endivestep.emulator

import kotlinx.cli.ArgParser
import kotlinx.cli.ExperimentalCli

/** Emulates the environment of a fleet: the store, a worker, or callers. */
@OptIn(ExperimentalCli::class)
public fun main(arguments: Array<String>) {
    val parser = ArgParser("emulator", strictSubcommandOptionsOrder = true)
    parser.subcommands(
        StoreCommand(),
        WorkerCommand(),
        LoadCommand(),
        PlatformStoreCommand(),
        PlatformWorkerCommand(),
        PlatformLoadCommand(),
    )
    parser.parse(if (arguments.isEmpty()) arrayOf("--help") else arguments)
}
