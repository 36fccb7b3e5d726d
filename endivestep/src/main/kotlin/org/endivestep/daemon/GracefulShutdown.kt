package org.endivestep.daemon

import io.github.oshai.kotlinlogging.KotlinLogging
import org.endivestep.egress.Egress
import org.endivestep.egress.InFlightRequests
import org.endivestep.exchange.monotonicMs
import org.endivestep.ingress.NettyCallerServer
import org.endivestep.ingress.RoutedIngress
import org.endivestep.ingress.StopTime
import org.endivestep.membership.Gossip
import org.endivestep.membership.MemberState

private val logger = KotlinLogging.logger {}

/**
 * Stops a daemon on the platform without cutting off requests in flight: notifies peers, serves new
 * requests until the platform has noticed that the daemon is not ready, and waits for requests in flight.
 */
internal class GracefulShutdown(
    private val gossip: Gossip,
    private val ingress: RoutedIngress,
    private val egress: Egress,
    private val callers: NettyCallerServer,
    private val inFlight: InFlightRequests,
    private val stopTime: StopTime,
    /** Waits at most the given time in ms until the responses to other daemons have been sent; returns whether they have. */
    private val endPeerCalls: (timeoutMs: Long) -> Boolean,
) {
    /** Blocks for at most [timeoutMs]; returns whether all requests in flight ended. */
    fun run(timeoutMs: Long): Boolean {
        val startMs = monotonicMs()
        val untilMs = startMs + timeoutMs - EXIT_MARGIN_MS
        stopTime.set(untilMs)
        gossip.updateSelf { it.copy(worker = it.worker?.copy(serving = false)) }
        Thread.sleep(READINESS_NOTICE_MS)
        ingress.endAt(untilMs)
        callers.closeAfterAnswers()
        egress.stop()
        awaitIdle(untilMs)
        // A connection that is accepted after the last idle check would be cut off when the process exits.
        callers.stopListening(LISTENER_CLOSE_MS)
        val drained = awaitIdle(untilMs + LISTENER_CLOSE_MS)
        gossip.updateSelf { it.copy(state = MemberState.LEFT) }
        Thread.sleep(LEFT_PROPAGATION_MS)
        // A run has ended when its answer was read from the worker, which an event loop that is behind sends on much later.
        val areSent = endPeerCalls((untilMs - monotonicMs()).coerceIn(MIN_LAST_RESPONSES_MS, MAX_LAST_RESPONSES_MS))
        if (!areSent) logger.info { "the connections of other daemons have not ended in time" }
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
        // The platform stops routing to a daemon after two failed readiness checks, which it makes every second.
        const val READINESS_NOTICE_MS = 2_400L

        // Time left for the process to exit before the platform kills it.
        const val EXIT_MARGIN_MS = 600L
        const val LEFT_PROPAGATION_MS = 100L
        const val LISTENER_CLOSE_MS = 200L
        const val MIN_LAST_RESPONSES_MS = 100L
        const val MAX_LAST_RESPONSES_MS = 1_000L
        const val IDLE_CHECK_MS = 20L
    }
}
