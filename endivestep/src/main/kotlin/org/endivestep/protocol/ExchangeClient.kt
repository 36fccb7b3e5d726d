package org.endivestep.protocol

import org.endivestep.exchange.AttemptRequest
import org.endivestep.identity.DaemonIncarnation
import org.endivestep.outcome.AttemptResult
import org.endivestep.settings.Address
import java.util.concurrent.Executor

/** Time in ms without a first frame after which the other daemon is asked whether it has started the attempt. */
internal const val ADMIT_TIMEOUT_MS = 1_000L

/** Address of the daemon that an attempt is sent to, and the incarnation of it that must run the attempt. */
internal data class Peer(val address: Address, val incarnation: DaemonIncarnation)

/** Sends attempts to other daemons. Thread-safe. */
internal class ExchangeClient(
    private val channels: PeerChannels,
    /** Sends long request bodies, and checks connections that did not answer in time. */
    private val background: Executor,
    private val admitTimeoutMs: Long = ADMIT_TIMEOUT_MS,
) {
    private val check = ConnectionCheck(channels, background)
    private val log = ExchangeLog()

    /**
     * Runs [attempt] at [peer]; blocks until the answer begins or the attempt fails. Throws [InterruptedException] when the
     * caller has left.
     */
    fun attempt(peer: Peer, attempt: AttemptRequest): AttemptResult {
        val request = attempt.withStreamedBody(MAX_BODY_BEFORE_ADMISSION_BYTES)
        return AttemptExchange(peer, request, channels, background, check, log, admitTimeoutMs).run()
    }

    private companion object {
        // Longer bodies are sent only after admission, so that a refused attempt does not transfer them.
        const val MAX_BODY_BEFORE_ADMISSION_BYTES = 8_192
    }
}
