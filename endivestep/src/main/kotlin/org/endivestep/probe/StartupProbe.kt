package org.endivestep.probe

import io.github.oshai.kotlinlogging.KotlinLogging
import org.endivestep.concurrent.BackgroundLoop
import org.endivestep.egress.WorkerHeartbeat

private val logger = KotlinLogging.logger {}

/** Sends a health request to the local worker at a path; returns null unless the worker reports that it is serving. */
internal typealias HealthCall = (path: String) -> WorkerHeartbeat?

/**
 * Probes the worker's health after this daemon has started, until the worker's first heartbeat or good
 * answer, so that requests need not wait for the next heartbeat.
 */
internal class StartupProbe(
    private val path: () -> String?,
    private val isKnown: () -> Boolean,
    private val call: HealthCall,
    private val onAnswer: (WorkerHeartbeat) -> Unit,
) {
    private var loop: BackgroundLoop? = null

    fun start() {
        loop = BackgroundLoop.start("start-probe", ::step)
    }

    private fun step() {
        if (isKnown()) {
            loop?.stop()
            return
        }
        val probed = path()
        if (probed == null) {
            Thread.sleep(CONFIGURATION_POLL_MS)
            return
        }
        val answer = call(probed)
        if (answer == null) {
            Thread.sleep(RETRY_DELAY_MS)
            return
        }
        logger.info { "worker ${answer.incarnation.text} answered a probe before its first heartbeat; handling the answer as a heartbeat" }
        onAnswer(answer)
    }

    private companion object {
        const val RETRY_DELAY_MS = 200L

        // The path comes with the configuration; callers wait for the first answer.
        const val CONFIGURATION_POLL_MS = 25L
    }
}
