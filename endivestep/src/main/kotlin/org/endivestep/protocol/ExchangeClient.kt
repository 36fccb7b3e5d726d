package org.endivestep.protocol

import io.github.oshai.kotlinlogging.KotlinLogging
import io.grpc.CallOptions
import io.grpc.ManagedChannel
import io.grpc.StatusRuntimeException
import org.endivestep.exchange.AttemptRequest
import org.endivestep.exchange.CallerLease
import org.endivestep.exchange.RequestBody
import org.endivestep.exchange.monotonicMs
import org.endivestep.identity.DaemonIncarnation
import org.endivestep.outcome.AnswerHead
import org.endivestep.outcome.AttemptResult
import org.endivestep.outcome.NotRunReason
import org.endivestep.outcome.UnknownReason
import org.endivestep.protocol.v1.AnswerFrame
import org.endivestep.protocol.v1.Confirmation
import org.endivestep.protocol.v1.ExchangesGrpc
import org.endivestep.protocol.v1.FenceAnswer
import org.endivestep.protocol.v1.FenceRequest
import org.endivestep.settings.Address
import java.util.concurrent.Executor
import java.util.concurrent.RejectedExecutionException
import java.util.concurrent.TimeUnit

private val logger = KotlinLogging.logger {}

/** Time in ms without a first frame after which a connection is considered unresponsive. */
internal const val ADMIT_TIMEOUT_MS = 1_000L

/** Address of the daemon that an attempt is sent to, and the incarnation of it that must run the attempt. */
internal data class Peer(val address: Address, val incarnation: DaemonIncarnation)

/**
 * Sends attempts to other daemons.
 *
 * When it is not known whether the remote daemon started an attempt, the attempt is fenced over another
 * connection: either it has not started and never will, or its outcome is unknown.
 */
internal class ExchangeClient(
    private val channels: PeerChannels,
    /** Sends long request bodies, and checks connections that did not answer in time. */
    private val background: Executor,
    private val admitTimeoutMs: Long = ADMIT_TIMEOUT_MS,
) {
    private val log = ExchangeLog()

    /**
     * Runs [attempt] at [peer]; blocks until the answer begins or the attempt fails. Throws [InterruptedException] when the
     * caller has left.
     */
    fun attempt(peer: Peer, attempt: AttemptRequest): AttemptResult {
        val request = attempt.withStreamedBody(MAX_BODY_BEFORE_ADMISSION_BYTES)
        val channel = channels.next(peer)
        val clock = channels.clock(peer.address)
        val call = ExchangeCall(channel, CallOptions.DEFAULT, request.deadline, clock) { confirm(channel, request, question = it) }
        val progress = AttemptProgress()
        try {
            call.start(request.toHead(peer.incarnation, clock, monotonicMs()), streamsBody = request.body is RequestBody.Streamed)
            return exchange(peer, channel, call, request, progress)
        } catch (e: InterruptedException) {
            call.cancel("the calling thread was interrupted")
            throw e
        }
    }

    private fun exchange(
        peer: Peer,
        channel: ManagedChannel,
        call: ExchangeCall,
        request: AttemptRequest,
        progress: AttemptProgress,
    ): AttemptResult {
        request.cancellation.onCancel { call.cancel("the caller has left") }
        val answerTimeoutMs = answerWaitMs(request.deadline)
        val received = call.next(minOf(answerTimeoutMs, admitTimeoutMs))
        val first = (received as? ReceiveResult.Frame)?.frame
        if (first == null && request.cancellation.isCancelled) throw InterruptedException("the caller has left")
        return when {
            first == null && received is ReceiveResult.TimedOut && answerTimeoutMs < admitTimeoutMs -> overdue(
                peer,
                channel,
                call,
                request,
                progress,
            )
            first == null -> notAdmitted(peer, channel, call, request, progress, received)
            first.frameCase != AnswerFrame.FrameCase.ADMITTED -> answerOf(peer, channel, call, request, first)
            else -> {
                progress.admitted()
                if (upload(call, request)) {
                    awaitAnswer(peer, channel, call, request, progress)
                } else {
                    log.write(request, peer, progress, EndedBy.THIS_DAEMON, "no thread is free to send the request body")
                    AttemptResult.Unknown(UnknownReason.CONNECTION_LOST)
                }
            }
        }
    }

    // Called on the transport thread. A caller that has left is not looked for; the call is cancelled instead.
    private fun confirm(channel: ManagedChannel, request: AttemptRequest, question: Long) {
        request.lease.askAnew {
            if (request.cancellation.isCancelled) return@askAnew
            val remainingMs = request.deadline.remainingMs(monotonicMs())
            ExchangesGrpc
                .newFutureStub(channel)
                .withDeadlineAfter(CallerLease.DURATION_MS, TimeUnit.MILLISECONDS)
                .confirm(Confirmation.newBuilder().setQuestion(question).setRemainingMs(remainingMs).build())
        }
    }

    /** Begins to send a streamed body; returns false, with the call cancelled, when no thread is free for it. */
    private fun upload(call: ExchangeCall, request: AttemptRequest): Boolean {
        val body = request.body as? RequestBody.Streamed ?: return true
        val stream = body.open()
        try {
            background.execute { call.upload(stream) }
            return true
        } catch (e: RejectedExecutionException) {
            logger.warn { "cannot send the body of request ${request.requestId.text}, no thread is free: $e" }
            call.cancel("no thread is free to send the request body")
            return false
        }
    }

    private fun awaitAnswer(
        peer: Peer,
        channel: ManagedChannel,
        call: ExchangeCall,
        request: AttemptRequest,
        progress: AttemptProgress,
    ): AttemptResult = when (val received = call.next(answerWaitMs(request.deadline))) {
        is ReceiveResult.Frame -> answerOf(peer, channel, call, request, received.frame)
        ReceiveResult.TimedOut -> {
            call.cancel("no answer before the deadline")
            log.write(request, peer, progress, EndedBy.THIS_DAEMON, "no answer before the deadline")
            checkConnection(peer, channel)
            AttemptResult.Unknown(UnknownReason.TIMEOUT)
        }
        else -> {
            call.cancel("the stream ended without an answer")
            log.write(request, peer, progress, EndedBy.CONNECTION, received.cause())
            AttemptResult.Unknown(UnknownReason.CONNECTION_LOST)
        }
    }

    private fun answerOf(
        peer: Peer,
        channel: ManagedChannel,
        call: ExchangeCall,
        request: AttemptRequest,
        frame: AnswerFrame,
    ): AttemptResult {
        if (frame.frameCase != AnswerFrame.FrameCase.HEAD) return notAnswered(call, frame)
        val head = frame.head
        if (head.requestId != request.requestId.text || head.attemptId != request.attemptId.text) {
            call.cancel("the answer belongs to another request")
            return AttemptResult.Unknown(UnknownReason.MISMATCHED_ANSWER)
        }
        return AttemptResult.Answered(
            AnswerHead(head.status, head.headersList.toFields()),
            if (head.whole) head.inlineBody.newInput() else call.body { checkConnection(peer, channel) },
            head.load.toLoad(),
        )
    }

    private fun notAnswered(call: ExchangeCall, frame: AnswerFrame): AttemptResult {
        call.cancel("the attempt ended without an answer")
        return when (frame.frameCase) {
            AnswerFrame.FrameCase.NOT_RUN -> notRun(frame)
            AnswerFrame.FrameCase.UNKNOWN ->
                AttemptResult.Unknown(UnknownReason.of(frame.unknown.reason), frame.unknown.load.toLoad())
            else -> AttemptResult.Unknown(UnknownReason.CONNECTION_LOST)
        }
    }

    private fun notRun(frame: AnswerFrame): AttemptResult {
        val reason = NotRunReason.of(frame.notRun.reason) ?: NotRunReason.DAEMON_UNREACHABLE
        return AttemptResult.NotRun(reason, frame.notRun.load.toLoad(), frame.notRun.final)
    }

    // No frame came before the deadline, which was so short that the notice of admission was not due.
    private fun overdue(peer: Peer, channel: ManagedChannel, call: ExchangeCall, request: AttemptRequest, progress: AttemptProgress): AttemptResult {
        call.cancel("no answer before the deadline")
        if (!call.wasSent) return AttemptResult.NotRun(NotRunReason.DAEMON_UNREACHABLE)
        val state = askWhetherStarted(peer, channel, request, progress)
        log.write(request, peer, progress, EndedBy.THIS_DAEMON, "no answer before the deadline")
        if (state == null) channels.retire(peer.address, channel)
        val isFenced = state == FenceAnswer.State.NEVER_STARTED
        return if (isFenced) AttemptResult.NotRun(NotRunReason.FENCED) else AttemptResult.Unknown(UnknownReason.TIMEOUT)
    }

    private fun notAdmitted(
        peer: Peer,
        channel: ManagedChannel,
        call: ExchangeCall,
        request: AttemptRequest,
        progress: AttemptProgress,
        received: ReceiveResult<AnswerFrame>,
    ): AttemptResult {
        val timedOut = received is ReceiveResult.TimedOut
        call.cancel("the attempt was not admitted")
        if (timedOut) channels.retire(peer.address, channel)
        if (!call.wasSent) return AttemptResult.NotRun(NotRunReason.DAEMON_UNREACHABLE)
        val state = askWhetherStarted(peer, channels.other(peer.address, channel), request, progress)
        val endedBy = if (timedOut) EndedBy.THIS_DAEMON else EndedBy.CONNECTION
        log.write(request, peer, progress, endedBy, if (timedOut) "no response within $admitTimeoutMs ms" else received.cause())
        val isFenced = state == FenceAnswer.State.NEVER_STARTED
        if (isFenced) return AttemptResult.NotRun(NotRunReason.FENCED)
        return AttemptResult.Unknown(if (timedOut) UnknownReason.NO_RESPONSE else UnknownReason.CONNECTION_LOST)
    }

    private fun ReceiveResult<AnswerFrame>.cause(): String =
        if (this is ReceiveResult.Failed) cause else "the other daemon ended the stream without an answer"

    private fun askWhetherStarted(
        peer: Peer,
        channel: ManagedChannel,
        request: AttemptRequest,
        progress: AttemptProgress,
    ): FenceAnswer.State? {
        progress.asked()
        return fence(peer, channel, request.attemptId.text, progress.beganMs)?.also(progress::told)
    }

    // The caller gets its answer at its deadline, not after the check.
    private fun checkConnection(peer: Peer, channel: ManagedChannel) {
        try {
            background.execute { if (!isResponsive(peer, channel)) channels.retire(peer.address, channel) }
        } catch (e: RejectedExecutionException) {
            logger.debug { "not checking the connection to ${peer.address}, no thread is free: $e" }
        }
    }

    // Fences a nonexistent attempt over [channel], to find out whether the connection still responds.
    private fun isResponsive(peer: Peer, channel: ManagedChannel): Boolean = fence(peer, channel, "liveness", monotonicMs()) != null

    private fun fence(peer: Peer, channel: ManagedChannel, attempt: String, sentMs: Long): FenceAnswer.State? =
        try {
            val request = FenceRequest.newBuilder().setAttemptId(attempt).setDaemonIncarnation(peer.incarnation.text)
            request.setAgeMs(monotonicMs() - sentMs)
            ExchangesGrpc
                .newBlockingStub(channel)
                .withDeadlineAfter(FENCE_TIMEOUT_MS, TimeUnit.MILLISECONDS)
                .fence(request.build())
                .state
        } catch (_: StatusRuntimeException) {
            null
        }

    private companion object {
        // Longer bodies are sent only after admission, so that a refused attempt does not transfer them.
        const val MAX_BODY_BEFORE_ADMISSION_BYTES = 8_192
        const val FENCE_TIMEOUT_MS = 500L
    }
}
