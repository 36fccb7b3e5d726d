package org.endivestep.probe

import org.endivestep.concurrent.BackgroundLoop
import org.endivestep.document.Document
import org.endivestep.egress.Egress
import org.endivestep.egress.LocalWorker
import org.endivestep.egress.WorkerPhase
import org.endivestep.exchange.monotonicMs

/** Checks whether a worker is reachable; returns false when nothing listens at its address. */
internal typealias ProbeCall = (worker: LocalWorker, path: String) -> Boolean

/**
 * Probes the local worker while it has no traffic, within the budget of its service.
 *
 * Under traffic, the answers to requests show the worker's state and no probe is sent. The content of
 * a probe's answer is ignored, since health endpoints lag: a probe only detects that the worker is gone.
 */
internal class IdleProber(
    private val egress: Egress,
    private val worker: () -> LocalWorker?,
    private val document: () -> Document?,
    private val call: ProbeCall,
    private val onUnreachable: (LocalWorker) -> Unit,
) {
    private var budget: ProbeBudget? = null
    private var loop: BackgroundLoop? = null

    val spent: Long get() = budget?.spent ?: 0

    fun start() {
        loop = BackgroundLoop.start("probe", ::step)
    }

    fun stop() {
        loop?.stop()
    }

    private fun step() {
        Thread.sleep(CHECK_INTERVAL_MS)
        val current = worker()?.takeIf { it.phase == WorkerPhase.SERVING } ?: return
        val service = document()?.services?.get(current.announcement.service) ?: return
        if (monotonicMs() - egress.lastTrafficMs < IDLE_AFTER_MS) return
        val budget = budget ?: ProbeBudget(service.probe, service.limits.max, ::monotonicMs).also { budget = it }
        budget.configure(service.probe, service.limits.max)
        if (budget.trySpend() && !call(current, service.probe.path)) onUnreachable(current)
    }

    private companion object {
        const val CHECK_INTERVAL_MS = 500L
        const val IDLE_AFTER_MS = 1_000L
    }
}
