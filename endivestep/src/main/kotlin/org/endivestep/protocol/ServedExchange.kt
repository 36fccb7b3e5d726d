package org.endivestep.protocol

import com.google.protobuf.UnsafeByteOperations
import io.github.oshai.kotlinlogging.KotlinLogging
import io.grpc.Status
import io.grpc.stub.ServerCallStreamObserver
import org.endivestep.egress.Egress
import org.endivestep.exchange.AttemptRequest
import org.endivestep.exchange.AttemptTimes
import org.endivestep.exchange.CallerLease
import org.endivestep.exchange.Cancellation
import org.endivestep.exchange.Deadline
import org.endivestep.exchange.RequestBody
import org.endivestep.exchange.RequestRank
import org.endivestep.exchange.monotonicMs
import org.endivestep.exchange.readWhole
import org.endivestep.identity.AttemptId
import org.endivestep.identity.DaemonIncarnation
import org.endivestep.identity.Fingerprint
import org.endivestep.identity.KindName
import org.endivestep.identity.RequestId
import org.endivestep.identity.ServiceName
import org.endivestep.identity.TeamName
import org.endivestep.membership.runId
import org.endivestep.outcome.AttemptResult
import org.endivestep.outcome.NotRunReason
import org.endivestep.protocol.v1.Admitted
import org.endivestep.protocol.v1.AnswerFrame
import org.endivestep.protocol.v1.AnswerHead
import org.endivestep.protocol.v1.Question
import org.endivestep.protocol.v1.RequestFrame
import org.endivestep.protocol.v1.RequestHead
import java.io.IOException
import java.util.concurrent.CompletableFuture
import java.util.concurrent.TimeUnit
import java.util.concurrent.TimeoutException

private val logger = KotlinLogging.logger {}

/** Server side of one exchange: an attempt received from another daemon. */
internal class ServedExchange(
    private val stream: ServerCallStreamObserver<AnswerFrame>,
    private val inbox: FrameInbox<RequestFrame>,
    private val gate: SendGate,
    private val egress: Egress,
    private val incarnation: () -> DaemonIncarnation,
    private val notices: AdmissionNotices,
    private val questions: CallerQuestions,
) : PendingNotice {
    override val arrivedMs = monotonicMs()

    private val cancellation = Cancellation()

    @Volatile
    private var runner: Thread? = null
    private val noticeLock = Any()

    // That of the request, once its head was received. Confined to the thread that serves the exchange.
    private var deadline = Deadline(arrivedMs + HEAD_TIMEOUT_MS)
    private var noticeIsNeeded = true
    private var lastQuestion: Long? = null

    /** Ends the attempt, because its answer is no longer needed; one that has not been sent to the worker is not sent any more. */
    fun cancel() {
        cancellation.cancel()
        synchronized(this) { runner?.interrupt() }
    }

    @Suppress("TooGenericExceptionCaught") // After any failure the remote daemon must see the stream end.
    fun serve() {
        if (cancellation.isCancelled) return
        synchronized(this) { runner = Thread.currentThread() }
        try {
            answer()
        } catch (e: Exception) {
            abort(e)
        } finally {
            lastQuestion?.let(questions::withdraw)
            synchronized(this) {
                runner = null
                Thread.interrupted()
            }
        }
    }

    private fun answer() {
        val first = inbox.next(HEAD_TIMEOUT_MS) as? ReceiveResult.Frame ?: throw IOException("no request head received")
        if (!first.frame.hasHead()) throw IOException("the first frame is not a request head")
        val head = first.frame.head
        if (DaemonIncarnation(head.daemonIncarnation).runId != incarnation().runId) {
            finish(AttemptResult.NotRun(NotRunReason.OTHER_INCARNATION), head)
            return
        }
        val sending = sendingOf(head)
        if (sending == null) {
            finish(AttemptResult.NotRun(NotRunReason.DELAYED), head)
            return
        }
        val request = request(head, sending)
        deadline = request.answerDeadline
        finish(egress.run(request) { admitted(head) }, head)
    }

    // The calling daemon sends a streamed body on the notice, which must therefore wait until the worker takes the body.
    private fun admitted(head: RequestHead) {
        if (stream.isCancelled) throw IOException("the calling daemon cancelled the exchange")
        if (!head.streamedBody) notices.admitted(this)
    }

    override fun sendNotice() {
        synchronized(noticeLock) {
            if (!noticeIsNeeded) return
            noticeIsNeeded = false
            if (!stream.isCancelled) pass(AnswerFrame.newBuilder().setAdmitted(Admitted.getDefaultInstance()))
        }
    }

    private fun finish(result: AttemptResult, head: RequestHead) {
        synchronized(noticeLock) { noticeIsNeeded = false }
        val frame = AnswerFrame.newBuilder()
        when (result) {
            is AttemptResult.NotRun -> send(frame.setNotRun(result.toWire()))
            is AttemptResult.Unknown -> send(frame.setUnknown(result.toWire()))
            is AttemptResult.Answered -> result.body.use { sendAnswer(result, head) }
        }
        stream.onCompleted()
    }

    private fun sendAnswer(result: AttemptResult.Answered, head: RequestHead) {
        val answer =
            AnswerHead
                .newBuilder()
                .setRequestId(head.requestId)
                .setAttemptId(head.attemptId)
                .setStatus(result.head.status)
                .addAllHeaders(result.head.headers.toWire())
        result.load?.let { answer.setLoad(it.toWire()) }
        val length = result.head.contentLength ?: Long.MAX_VALUE
        if (length <= MAX_INLINE_ANSWER_BYTES) {
            // A short answer is sent as one frame instead of three; the transport conveys its length.
            answer.setWhole(true).setInlineBody(UnsafeByteOperations.unsafeWrap(result.body.readWhole(length.toInt())))
            send(AnswerFrame.newBuilder().setHead(answer))
            return
        }
        send(AnswerFrame.newBuilder().setHead(answer))
        val sender =
            BodySender(
                chunk = { send(AnswerFrame.newBuilder().setChunk(it)) },
                end = { send(AnswerFrame.newBuilder().setEnd(it)) },
            )
        sender.send(result.body)
    }

    /**
     * When the head of an attempt was sent or earlier, when it was sent at the latest, and what was known then of its request; times are on
     * the clock of [monotonicMs].
     */
    private class Sending(
        val sentMs: Long,
        val latestMs: Long,
        val remainingMs: Long,
        val leaseRenewedMs: Long,
        val isKnown: Boolean = true,
    )

    /**
     * Returns what is known of the sending of [head]. A sender that cannot tell is asked, because the head may have waited for any time;
     * if it does not answer, returns null.
     */
    private fun sendingOf(head: RequestHead): Sending? {
        if (!head.confirms) return Sending(arrivedMs, arrivedMs, head.remainingMs, CallerLease.FOREVER_MS, isKnown = false)
        // A clock that was suspended makes the head seem to come from the future.
        if (head.hasSentAtMs() && head.sentAtMs <= arrivedMs) {
            return Sending(head.sentAtMs, arrivedMs, head.remainingMs, head.sentAtMs - head.leaseAgeMs)
        }
        val askedMs = monotonicMs()
        val answer = CompletableFuture<Long>()
        ask(answer::complete)
        return try {
            val remainingMs = answer.get(CallerLease.DURATION_MS, TimeUnit.MILLISECONDS)
            Sending(askedMs, monotonicMs(), remainingMs, askedMs, isKnown = false)
        } catch (_: TimeoutException) {
            null
        }
    }

    private fun ask(onAnswer: (remainingMs: Long) -> Unit) {
        lastQuestion?.let(questions::withdraw)
        val number = questions.add(onAnswer)
        lastQuestion = number
        // A notice may be sent at the same time.
        synchronized(noticeLock) {
            if (!stream.isCancelled) pass(AnswerFrame.newBuilder().setQuestion(Question.newBuilder().setNumber(number)))
        }
    }

    // What is left of the request's time is counted from when its head was sent, or from the question whether its caller still waits.
    private fun request(head: RequestHead, sending: Sending): AttemptRequest {
        val sentMs = sending.sentMs
        return AttemptRequest(
            requestId = RequestId(head.requestId),
            attemptId = AttemptId(head.attemptId),
            service = ServiceName(head.service),
            kind = KindName(head.kind),
            method = head.method,
            path = head.path,
            headers = head.headersList.toFields(),
            body = body(head),
            deadline = Deadline(sentMs + sending.remainingMs),
            fingerprint = Fingerprint(head.fingerprint),
            rank = RequestRank(head.priority, sentMs + head.objectiveMs, head.nested, head.repeated, team(head)),
            maxWaitMs = head.patienceMs,
            cancellation = cancellation,
            lease = CallerLease(sending.leaseRenewedMs) { onPresent -> ask { onPresent() } },
            times = AttemptTimes(arrivedMs, if (sending.isKnown) arrivedMs - sentMs else null),
            answerDeadline = Deadline(sending.latestMs + sending.remainingMs),
        )
    }

    private fun team(head: RequestHead): TeamName? = head.team.takeIf { it.isNotEmpty() }?.let(::TeamName)

    private fun body(head: RequestHead): RequestBody {
        if (!head.streamedBody) return RequestBody.Inline(head.inlineBody.toByteArray())
        return RequestBody.Streamed(BodyInputStream(::nextBodyFrame) { }, head.bodyLength, onOpen = ::sendNotice)
    }

    private fun nextBodyFrame(): BodyFrame = inbox.nextBodyFrame(transferWaitMs(deadline), ::bodyFrame)

    private fun bodyFrame(frame: RequestFrame): BodyFrame =
        when (frame.frameCase) {
            RequestFrame.FrameCase.CHUNK -> BodyFrame.Chunk(frame.chunk)
            RequestFrame.FrameCase.END -> BodyFrame.End(frame.end)
            else -> BodyFrame.Failed("unexpected frame ${frame.frameCase}")
        }

    private fun send(frame: AnswerFrame.Builder) {
        gate.await(transferWaitMs(deadline))
        if (stream.isCancelled) throw IOException("the calling daemon cancelled the exchange")
        pass(frame)
    }

    // The sooner a frame is sent after its time is taken, the more that time proves.
    private fun pass(frame: AnswerFrame.Builder) = stream.onNext(frame.setClockMs(monotonicMs()).build())

    private fun abort(cause: Exception) {
        if (stream.isCancelled) return
        logger.debug(cause) { "aborting the exchange with the calling daemon" }
        stream.onError(Status.ABORTED.withDescription(cause.message).asRuntimeException())
    }

    private companion object {
        const val HEAD_TIMEOUT_MS = 5_000L
        const val MAX_INLINE_ANSWER_BYTES = 16_384L
    }
}
