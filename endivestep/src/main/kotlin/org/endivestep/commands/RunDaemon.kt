package org.endivestep.commands

import io.github.oshai.kotlinlogging.KotlinLogging
import org.endivestep.concurrent.BackgroundLoop
import org.endivestep.daemon.Daemon
import org.endivestep.daemon.PlatformDaemon
import org.endivestep.findings.Checked
import org.endivestep.platform.PlatformBounds
import org.endivestep.platform.SETTINGS_VARIABLE
import org.endivestep.platform.readPlatformSettings
import org.endivestep.settings.readDaemonSettings
import sun.misc.Signal
import java.io.File
import java.io.IOException
import java.util.concurrent.CountDownLatch

private val logger = KotlinLogging.logger {}

/** Runs a daemon with the settings in [path] until SIGTERM or SIGINT, then stops it gracefully. */
internal fun runDaemon(path: String): ExitCode {
    val text = readOrReport(path) ?: return ExitCode.INVALID
    val settings =
        when (val checked = readDaemonSettings(path, text)) {
            is Checked.Invalid -> return reportFindings(checked.findings, json = false)
            is Checked.Valid -> checked.value
        }
    return runUntilSignal {
        val daemon = Daemon(settings)
        daemon.start()
        daemon::stop
    }
}

/** Runs a daemon with the settings file that the platform has rendered, until SIGTERM or SIGINT. SIGHUP reloads the file. */
internal fun runPlatformDaemon(): ExitCode {
    val path = System.getenv(SETTINGS_VARIABLE) ?: return fail(ExitCode.INVALID, "$SETTINGS_VARIABLE is not set")
    val text = readOrReport(path) ?: return ExitCode.INVALID
    val settings =
        when (val checked = readPlatformSettings(path, text)) {
            is Checked.Invalid -> return reportFindings(checked.findings, json = false)
            is Checked.Valid -> checked.value
        }
    logBounds(settings.bounds)
    return runUntilSignal {
        val daemon = PlatformDaemon(settings)
        daemon.start()
        BackgroundLoop.start("reload-settings") {
            awaitReloadSignal()
            reload(daemon, path)
        }
        daemon::stop
    }
}

private fun reload(daemon: PlatformDaemon, path: String) {
    val text =
        try {
            File(path).readText()
        } catch (e: IOException) {
            logger.error(e) { "settings file $path cannot be read; keeping the current settings" }
            return
        }
    when (val checked = readPlatformSettings(path, text)) {
        is Checked.Invalid -> logger.error { "settings file $path is invalid; keeping the current settings: ${checked.findings}" }
        is Checked.Valid -> daemon.reload(checked.value)
    }
}

// A default in place of a limit of the platform may break a promise that rests on it.
private fun logBounds(bounds: PlatformBounds) {
    if (bounds.defaulted.isNotEmpty()) logger.warn { "the platform does not state ${bounds.defaulted}; using defaults: $bounds" }
    logger.info { "the platform states these limits, which this daemon does not use: ${bounds.unused}" }
}

// [start] returns the function that stops the daemon, which in turn returns whether all requests had ended.
private fun runUntilSignal(start: () -> () -> Boolean): ExitCode {
    val signalled = CountDownLatch(1)
    listOf("TERM", "INT").forEach { Signal.handle(Signal(it)) { signalled.countDown() } }
    return try {
        val stopDaemon = start()
        signalled.await()
        if (stopDaemon()) ExitCode.SUCCESS else ExitCode.FAILURE
    } catch (e: IOException) {
        logger.error(e) { "the daemon cannot start" }
        fail(ExitCode.FAILURE, "the daemon cannot start: ${e.message}")
    }
}
