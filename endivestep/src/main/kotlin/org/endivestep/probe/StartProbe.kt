package org.endivestep.probe

import io.github.oshai.kotlinlogging.KotlinLogging
import org.endivestep.egress.WorkerHeartbeat
import org.endivestep.ring.Duty

private val logger = KotlinLogging.logger {}

/** Asks the worker beside this daemon at [path][String] how it is; returns null when it does not say that it serves. */
internal typealias HealthCall = (path: String) -> WorkerHeartbeat?

/**
 * Asks the worker how it is while a daemon that has just started has not heard from it, so that its
 * requests need not wait for the next heartbeat. Ends with the first heartbeat or good answer.
 */
internal class StartProbe(
    private val path: () -> String?,
    private val isKnown: () -> Boolean,
    private val ask: HealthCall,
    private val onAnswer: (WorkerHeartbeat) -> Unit,
) {
    private var duty: Duty? = null

    fun start() {
        duty = Duty.start("start-probe", ::step)
    }

    private fun step() {
        if (isKnown()) {
            duty?.stop()
            return
        }
        Thread.sleep(PAUSE_MS)
        val answer = path()?.takeIf { !isKnown() }?.let(ask) ?: return
        logger.info { "worker ${answer.incarnation.text} answered a probe before its first heartbeat" }
        onAnswer(answer)
    }

    private companion object {
        const val PAUSE_MS = 200L
    }
}
