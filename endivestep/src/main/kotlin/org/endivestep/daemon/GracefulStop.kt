package org.endivestep.daemon

import org.endivestep.egress.Egress
import org.endivestep.egress.InFlightRequests
import org.endivestep.exchange.monotonicMs
import org.endivestep.ingress.CallerEdge
import org.endivestep.ingress.RoutedIngress
import org.endivestep.membership.Gossip
import org.endivestep.membership.MemberState

/**
 * Stops a daemon on the users' platform without cutting a request in flight: tells peers, serves what
 * still comes until the platform has taken notice, and waits for what is in flight.
 */
internal class GracefulStop(
    private val gossip: Gossip,
    private val ingress: RoutedIngress,
    private val egress: Egress,
    private val callers: CallerEdge,
    private val inFlight: InFlightRequests,
) {
    /** Blocks for [longestMs] at most; returns whether everything in flight has ended. */
    fun run(longestMs: Long): Boolean {
        val startMs = monotonicMs()
        gossip.stateSelf { it.copy(worker = it.worker?.copy(serving = false)) }
        Thread.sleep(NOTICE_MS)
        val untilMs = startMs + longestMs - MARGIN_MS
        ingress.endAt(untilMs)
        callers.closeAfterAnswers()
        egress.stop()
        awaitIdle(untilMs)
        // A connection that is accepted after the last look would be cut by the end of the process.
        callers.stopListening(LISTENER_CLOSE_MS)
        val drained = awaitIdle(untilMs + LISTENER_CLOSE_MS)
        gossip.stateSelf { it.copy(state = MemberState.LEFT) }
        Thread.sleep(LEFT_SPREAD_MS)
        return drained
    }

    private fun awaitIdle(untilMs: Long): Boolean {
        while (monotonicMs() < untilMs) {
            if (ingress.activeCount == 0 && inFlight.count == 0 && callers.connectionCount == 0) return true
            Thread.sleep(IDLE_CHECK_MS)
        }
        return ingress.activeCount == 0 && inFlight.count == 0
    }

    private companion object {
        // The platform takes a daemon out after two questions, which it asks every second.
        const val NOTICE_MS = 2_400L

        // Time kept for the end of the process before it is killed.
        const val MARGIN_MS = 600L
        const val LEFT_SPREAD_MS = 100L
        const val LISTENER_CLOSE_MS = 200L
        const val IDLE_CHECK_MS = 20L
    }
}
