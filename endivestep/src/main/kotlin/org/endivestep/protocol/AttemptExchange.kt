package org.endivestep.protocol

import io.github.oshai.kotlinlogging.KotlinLogging
import io.grpc.CallOptions
import org.endivestep.exchange.AttemptRequest
import org.endivestep.exchange.CallerLease
import org.endivestep.exchange.RequestBody
import org.endivestep.exchange.monotonicMs
import org.endivestep.outcome.AnswerHead
import org.endivestep.outcome.AttemptResult
import org.endivestep.outcome.NotRunReason
import org.endivestep.outcome.UnknownReason
import org.endivestep.protocol.v1.AnswerFrame
import org.endivestep.protocol.v1.Confirmation
import org.endivestep.protocol.v1.ExchangesGrpc
import org.endivestep.protocol.v1.FenceAnswer
import java.io.InputStream
import java.util.concurrent.Executor
import java.util.concurrent.RejectedExecutionException
import java.util.concurrent.Semaphore
import java.util.concurrent.TimeUnit

private val logger = KotlinLogging.logger {}

/**
 * One attempt at another daemon, until the start of its answer. Used by one thread.
 *
 * Silence alone ends no attempt that may have started. When nothing has come for [admitTimeoutMs], the other daemon is asked whether it
 * has started the attempt, which goes on meanwhile: one that has started is awaited, one that has not never will. Without an answer the
 * question is asked again until the deadline; only an attempt for which another one can be reserved is given up then.
 */
internal class AttemptExchange(
    private val peer: Peer,
    private val request: AttemptRequest,
    private val channels: PeerChannels,
    private val background: Executor,
    private val check: ConnectionCheck,
    private val log: ExchangeLog,
    private val admitTimeoutMs: Long,
) {
    private val channel = channels.next(peer)
    private val clock = channels.clock(peer.address)
    private val progress = AttemptProgress()
    private val call = ExchangeCall(channel, CallOptions.DEFAULT, request.deadline, clock) { confirm(question = it) }
    private val inquiryChanges = Semaphore(0)
    private val inquiry by lazy(LazyThreadSafetyMode.NONE) {
        StartInquiry(channels, peer, request, channel, progress) {
            inquiryChanges.release()
            call.wake()
        }
    }

    /** Blocks until the answer begins or the attempt fails. Throws [InterruptedException] when the caller has left. */
    fun run(): AttemptResult {
        try {
            call.start(request.toHead(peer.incarnation, clock, monotonicMs()), streamsBody = request.body is RequestBody.Streamed)
            request.cancellation.onCancel { call.cancel("the caller has left") }
            return awaitFirstFrame()
        } catch (e: InterruptedException) {
            call.cancel("the calling thread was interrupted")
            throw e
        }
    }

    // Called on the transport thread. A caller that has left is not looked for; the call is cancelled instead.
    private fun confirm(question: Long) {
        request.lease.askAnew {
            if (request.cancellation.isCancelled) return@askAnew
            val remainingMs = request.deadline.remainingMs(monotonicMs())
            ExchangesGrpc
                .newFutureStub(if (channel.isShutdown) channels.next(peer.address) else channel)
                .withDeadlineAfter(CallerLease.DURATION_MS, TimeUnit.MILLISECONDS)
                .confirm(Confirmation.newBuilder().setQuestion(question).setRemainingMs(remainingMs).build())
        }
    }

    private fun awaitFirstFrame(): AttemptResult {
        val answerWaitMs = answerWaitMs(request.deadline)
        return when (val received = next(minOf(answerWaitMs, admitTimeoutMs))) {
            is ReceiveResult.Frame -> proceed(received.frame)
            ReceiveResult.TimedOut, ReceiveResult.Woken -> if (answerWaitMs < admitTimeoutMs) overdue() else inquire()
            is ReceiveResult.Failed, ReceiveResult.Completed -> streamEnded(received)
        }
    }

    private fun next(timeoutMs: Long): ReceiveResult<AnswerFrame> {
        val received = call.next(timeoutMs)
        if (received !is ReceiveResult.Frame) throwIfCallerLeft()
        return received
    }

    private fun throwIfCallerLeft() {
        if (request.cancellation.isCancelled) throw InterruptedException("the caller has left")
    }

    private fun proceed(frame: AnswerFrame): AttemptResult {
        if (frame.frameCase != AnswerFrame.FrameCase.ADMITTED) return resultOf(frame)
        progress.noteAdmitted()
        (request.body as? RequestBody.Streamed)?.let { upload(it.open()) }
        return awaitAnswer()
    }

    // Without a free thread this one sends the body: the worker has begun to take the request.
    private fun upload(body: InputStream) {
        try {
            background.execute { call.upload(body) }
        } catch (e: RejectedExecutionException) {
            logger.debug { "no other thread is free to send the body of request ${request.requestId.text}: $e" }
            call.upload(body)
        }
    }

    private tailrec fun awaitAnswer(): AttemptResult =
        when (val received = next(answerWaitMs(request.deadline))) {
            is ReceiveResult.Frame -> proceed(received.frame)
            ReceiveResult.Woken -> awaitAnswer()
            ReceiveResult.TimedOut -> {
                check.begin(peer, channel)
                deadlinePassed()
            }
            is ReceiveResult.Failed, ReceiveResult.Completed -> streamEnded(received)
        }

    /** Asks whether the attempt has started until that is known, something has come, or the attempt has ended. */
    private fun inquire(): AttemptResult {
        if (!call.wasSent) return notConnected()
        var waitMs = FIRST_INQUIRY_WAIT_MS
        while (true) {
            val remainingMs = answerWaitMs(request.deadline)
            if (remainingMs <= 0) {
                check.begin(peer, channel)
                return deadlinePassed()
            }
            inquiry.ask(remainingMs)
            awaitInquiry(monotonicMs() + minOf(waitMs, remainingMs))?.let { return it }
            if (request.reserveRepeat()) return abandoned("no response to the question whether it has started")
            waitMs *= 2
        }
    }

    // Returns null when nothing has come.
    private fun awaitInquiry(untilMs: Long): AttemptResult? {
        while (true) {
            when (val received = next(untilMs - monotonicMs())) {
                is ReceiveResult.Frame -> return proceed(received.frame)
                is ReceiveResult.Failed, ReceiveResult.Completed -> return streamEnded(received)
                ReceiveResult.TimedOut -> return null
                ReceiveResult.Woken -> toldResult()?.let { return it }
            }
        }
    }

    private fun toldResult(): AttemptResult? =
        when (inquiry.state) {
            null -> null
            FenceAnswer.State.NEVER_STARTED -> {
                retireUnlessResponsive()
                fenced(EndedBy.THIS_DAEMON, "not started within the time in which it should have responded")
            }
            FenceAnswer.State.OTHER_INCARNATION -> awaitLastFrame()
            else -> awaitStarted()
        }

    /** Awaits what an earlier run of the other daemon may have sent before its end. */
    private fun awaitLastFrame(): AttemptResult {
        val received = next(minOf(LAST_FRAME_MS, answerWaitMs(request.deadline)))
        if (received is ReceiveResult.Frame) return proceed(received.frame)
        if (received == ReceiveResult.Woken) return awaitLastFrame()
        call.cancel("the run of the daemon that had the attempt has ended")
        return ended(EndedBy.OTHER_DAEMON, "its run has ended", UnknownReason.CONNECTION_LOST)
    }

    /** Awaits the answer to an attempt that has started. A connection that does not respond while the other one does is dead. */
    private fun awaitStarted(): AttemptResult {
        val untilMs = monotonicMs() + admitTimeoutMs
        while (!inquiry.isOwnChannelResponsive) {
            when (val received = next(minOf(untilMs - monotonicMs(), answerWaitMs(request.deadline)))) {
                is ReceiveResult.Frame -> return proceed(received.frame)
                is ReceiveResult.Failed, ReceiveResult.Completed -> return streamEnded(received)
                ReceiveResult.Woken -> Unit
                ReceiveResult.TimedOut -> {
                    channels.retire(peer.address, channel)
                    if (request.reserveRepeat()) return abandoned("its connection does not respond")
                    break
                }
            }
        }
        return awaitAnswer()
    }

    // Nothing was sent within the time in which the other daemon should have responded.
    private fun notConnected(): AttemptResult {
        call.cancel("no connection within $admitTimeoutMs ms")
        channels.retire(peer.address, channel)
        return if (call.wasSent) askAfterEnd("no connection within $admitTimeoutMs ms") else unreachable()
    }

    private fun streamEnded(received: ReceiveResult<AnswerFrame>): AttemptResult {
        call.cancel("the stream ended without an answer")
        if (!call.wasSent) return unreachable()
        val cause = (received as? ReceiveResult.Failed)?.cause ?: "the other daemon ended the stream without an answer"
        return askAfterEnd(cause)
    }

    /** Asks whether an attempt has started whose answer can no longer come, so that one that has not can be reported as not run. */
    private fun askAfterEnd(cause: String): AttemptResult {
        var waitMs = FIRST_INQUIRY_WAIT_MS
        while (!mayHaveStarted()) {
            val remainingMs = answerWaitMs(request.deadline)
            if (remainingMs <= 0) break
            inquiry.ask(remainingMs)
            awaitState(minOf(waitMs, remainingMs))
            if (inquiry.state == FenceAnswer.State.NEVER_STARTED) return fenced(EndedBy.CONNECTION, cause)
            if (inquiry.cannotBeAnswered || request.reserveRepeat()) break
            waitMs *= 2
        }
        return ended(EndedBy.CONNECTION, cause, UnknownReason.CONNECTION_LOST)
    }

    private fun mayHaveStarted(): Boolean =
        progress.admittedMs != null || (progress.told != null && progress.told != FenceAnswer.State.NEVER_STARTED)

    private fun awaitState(waitMs: Long) = awaitInquiryChanges(waitMs) { inquiry.state != null || inquiry.cannotBeAnswered }

    // The answer came over the other connection; this one has usually brought it as well by now.
    private fun retireUnlessResponsive() {
        awaitInquiryChanges(OWN_ANSWER_MS) { inquiry.isOwnChannelResponsive }
        if (!inquiry.isOwnChannelResponsive) channels.retire(peer.address, channel)
    }

    private fun awaitInquiryChanges(waitMs: Long, isEnough: () -> Boolean) {
        val untilMs = monotonicMs() + waitMs
        while (!isEnough()) {
            if (!inquiryChanges.tryAcquire(untilMs - monotonicMs(), TimeUnit.MILLISECONDS)) return
            throwIfCallerLeft()
        }
    }

    // The deadline was so short that the notice of admission was not due. It ends the attempt; the answer only tells what to report.
    private fun overdue(): AttemptResult {
        call.cancel("no answer before the deadline")
        if (!call.wasSent) return unreachable()
        inquiry.ask(OVERDUE_INQUIRY_MS)
        awaitState(OVERDUE_INQUIRY_MS)
        if (!inquiry.isOwnChannelResponsive) check.begin(peer, channel)
        if (inquiry.state != FenceAnswer.State.NEVER_STARTED) return deadlinePassed()
        return fenced(EndedBy.THIS_DAEMON, "no answer before the deadline")
    }

    private fun resultOf(frame: AnswerFrame): AttemptResult {
        if (frame.frameCase != AnswerFrame.FrameCase.HEAD) return notAnswered(frame)
        val head = frame.head
        if (head.requestId != request.requestId.text || head.attemptId != request.attemptId.text) {
            call.cancel("the answer belongs to another request")
            return AttemptResult.Unknown(UnknownReason.MISMATCHED_ANSWER)
        }
        return AttemptResult.Answered(
            AnswerHead(head.status, head.headersList.toFields()),
            if (head.whole) head.inlineBody.newInput() else call.body { check.begin(peer, channel) },
            head.load.toLoad(),
        )
    }

    private fun notAnswered(frame: AnswerFrame): AttemptResult {
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

    private fun unreachable(): AttemptResult = AttemptResult.NotRun(NotRunReason.DAEMON_UNREACHABLE)

    private fun fenced(by: EndedBy, cause: String): AttemptResult {
        call.cancel("the other daemon has not started the attempt, and never will")
        log.write(request, peer, progress, by, cause)
        return AttemptResult.NotRun(NotRunReason.FENCED)
    }

    private fun deadlinePassed(): AttemptResult {
        call.cancel("no answer before the deadline")
        return ended(EndedBy.THIS_DAEMON, "no answer before the deadline", UnknownReason.TIMEOUT)
    }

    private fun abandoned(cause: String): AttemptResult {
        call.cancel(cause)
        return ended(EndedBy.THIS_DAEMON, cause, UnknownReason.NO_RESPONSE)
    }

    private fun ended(by: EndedBy, cause: String, reason: UnknownReason): AttemptResult {
        log.write(request, peer, progress, by, cause)
        return AttemptResult.Unknown(reason)
    }

    private companion object {
        const val FIRST_INQUIRY_WAIT_MS = 500L

        // The caller is still answered within half a second after its deadline.
        const val OVERDUE_INQUIRY_MS = 300L
        const val LAST_FRAME_MS = 500L
        const val OWN_ANSWER_MS = 100L
    }
}
