package org.endivestep

import org.endivestep.commands.PLATFORM_DAEMON
import org.endivestep.commands.acceptReloadSignals
import org.endivestep.commands.runCommandLine
import org.endivestep.logging.LogProvider
import kotlin.system.exitProcess

/** Runs the command line and exits the process with its exit code. */
public fun main(arguments: Array<String>) {
    if (arguments.firstOrNull() == PLATFORM_DAEMON) acceptReloadSignals()
    LogProvider.install()
    exitProcess(runCommandLine(arguments).code)
}
