package org.endivestep.protocol

import io.github.oshai.kotlinlogging.KotlinLogging
import io.grpc.ManagedChannel
import io.grpc.StatusRuntimeException
import org.endivestep.protocol.v1.ExchangesGrpc
import org.endivestep.protocol.v1.FenceRequest
import java.util.concurrent.Executor
import java.util.concurrent.RejectedExecutionException
import java.util.concurrent.TimeUnit

private val logger = KotlinLogging.logger {}

/** Replaces connections to other daemons that no longer respond. Calls in progress on them may still complete. */
internal class ConnectionCheck(private val channels: PeerChannels, private val background: Executor) {
    /** Checks [channel] to [peer] in the background: a caller gets its answer at its deadline, not after the check. */
    fun begin(peer: Peer, channel: ManagedChannel) {
        try {
            background.execute { if (!isResponsive(peer, channel)) channels.retire(peer.address, channel) }
        } catch (e: RejectedExecutionException) {
            logger.debug { "not checking the connection to ${peer.address}, no thread is free: $e" }
        }
    }

    // Asks about an attempt that does not exist.
    private fun isResponsive(peer: Peer, channel: ManagedChannel): Boolean =
        try {
            ExchangesGrpc
                .newBlockingStub(channel)
                .withDeadlineAfter(TIMEOUT_MS, TimeUnit.MILLISECONDS)
                .fence(FenceRequest.newBuilder().setAttemptId("liveness").setDaemonIncarnation(peer.incarnation.text).build())
            true
        } catch (_: StatusRuntimeException) {
            false
        }

    private companion object {
        const val TIMEOUT_MS = 500L
    }
}
