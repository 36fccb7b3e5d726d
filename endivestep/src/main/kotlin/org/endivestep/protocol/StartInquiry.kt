package org.endivestep.protocol

import io.grpc.ManagedChannel
import io.grpc.Status
import io.grpc.stub.StreamObserver
import io.netty.channel.ConnectTimeoutException
import org.endivestep.egress.AttemptRegistry
import org.endivestep.exchange.AttemptRequest
import org.endivestep.exchange.monotonicMs
import org.endivestep.protocol.v1.ExchangesGrpc
import org.endivestep.protocol.v1.FenceAnswer
import org.endivestep.protocol.v1.FenceRequest
import java.net.ConnectException
import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.TimeUnit

/** Time in ms after which an answer to a question is discarded: the other daemon may have forgotten the start since then. */
internal const val MAX_ANSWER_MS = AttemptRegistry.FENCE_MARGIN_MS - 1_000L

/**
 * Asks the daemon at [peer] whether it has started an attempt; once it has answered that it has not, it never will.
 *
 * The question is sent over both connections to that daemon, so that one that became unresponsive does not hold up the answer. It
 * may be asked again, and the first answer counts. Thread-safe.
 */
internal class StartInquiry(
    private val channels: PeerChannels,
    private val peer: Peer,
    private val request: AttemptRequest,
    /** Connection on which the attempt was sent. */
    private val ownChannel: ManagedChannel,
    private val progress: AttemptProgress,
    /** Called on the transport thread when [state] or [cannotBeAnswered] may have changed; must not block. */
    private val onChange: () -> Unit,
) {
    private val answered = ConcurrentHashMap.newKeySet<ManagedChannel>()
    private val failed = ConcurrentHashMap.newKeySet<ManagedChannel>()
    private val rejected = ConcurrentHashMap.newKeySet<ManagedChannel>()

    @Volatile
    private var asked: List<ManagedChannel> = emptyList()

    /** The answer, null before there is one. */
    val state: FenceAnswer.State? get() = progress.told

    /** Whether the answer, or another one, came over the connection on which the attempt was sent. */
    val isOwnChannelResponsive: Boolean get() = ownChannel in answered

    /** Whether neither connection can bring an answer: no process listens at the address any more, or it rejects the question. */
    val cannotBeAnswered: Boolean get() = asked.isNotEmpty() && rejected.containsAll(asked)

    /** Asks over both connections; answers are awaited for [waitMs]. A connection that brought no answer so far is replaced. */
    fun ask(waitMs: Long) {
        progress.noteAsked()
        val silent = asked.filterNot { it in answered || it in failed }
        // One at a time: a daemon that is behind needs no further connections.
        (silent.find { it === ownChannel } ?: silent.firstOrNull())?.let { channels.retire(peer.address, it) }
        failed.clear()
        rejected.clear()
        asked = channels.both(peer.address)
        asked.forEach { ask(it, minOf(waitMs, MAX_ANSWER_MS)) }
    }

    private fun ask(channel: ManagedChannel, waitMs: Long) {
        val askedMs = monotonicMs()
        val question =
            FenceRequest
                .newBuilder()
                .setAttemptId(request.attemptId.text)
                .setDaemonIncarnation(peer.incarnation.text)
                .setAgeMs(askedMs - progress.beganMs)
        ExchangesGrpc
            .newStub(channel)
            .withDeadlineAfter(waitMs, TimeUnit.MILLISECONDS)
            .fence(question.build(), AnswerReceiver(channel, askedMs))
    }

    private inner class AnswerReceiver(private val channel: ManagedChannel, private val askedMs: Long) : StreamObserver<FenceAnswer> {
        override fun onNext(answer: FenceAnswer) {
            answered += channel
            // The deadline of the call may pass unnoticed while the transport thread is behind.
            if (monotonicMs() - askedMs <= MAX_ANSWER_MS) progress.noteTold(answer.state)
            onChange()
        }

        override fun onError(error: Throwable) {
            val status = Status.fromThrowable(error)
            if (status.code == Status.Code.DEADLINE_EXCEEDED) return
            failed += channel
            if (isRejection(status)) rejected += channel
            onChange()
        }

        override fun onCompleted() = Unit
    }

    // A connection that was reset, or could not be opened in time, says nothing about the daemon.
    private fun isRejection(status: Status): Boolean =
        when (status.code) {
            Status.Code.UNAVAILABLE -> status.cause is ConnectException && status.cause !is ConnectTimeoutException
            Status.Code.CANCELLED -> false
            else -> true
        }
}
