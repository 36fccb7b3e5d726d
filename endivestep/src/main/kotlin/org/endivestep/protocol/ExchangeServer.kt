package org.endivestep.protocol

import io.github.oshai.kotlinlogging.KotlinLogging
import io.grpc.Status
import io.grpc.stub.ServerCallStreamObserver
import io.grpc.stub.StreamObserver
import org.endivestep.egress.Egress
import org.endivestep.egress.FenceResult
import org.endivestep.exchange.monotonicMs
import org.endivestep.identity.AttemptId
import org.endivestep.identity.DaemonIncarnation
import org.endivestep.membership.runId
import org.endivestep.metrics.LogEntry
import org.endivestep.metrics.RateLimitedLog
import org.endivestep.protocol.v1.AnswerFrame
import org.endivestep.protocol.v1.Confirmation
import org.endivestep.protocol.v1.ConfirmationReceipt
import org.endivestep.protocol.v1.ExchangesGrpc
import org.endivestep.protocol.v1.FenceAnswer
import org.endivestep.protocol.v1.FenceRequest
import org.endivestep.protocol.v1.RequestFrame
import java.util.concurrent.Executor
import java.util.concurrent.RejectedExecutionException

private val logger = KotlinLogging.logger {}

/** Accepts attempts from other daemons and runs them at the local worker. */
internal class ExchangeServer(
    private val egress: Egress,
    private val incarnation: () -> DaemonIncarnation,
    private val runners: Executor,
    private val notices: AdmissionNotices,
) : ExchangesGrpc.ExchangesImplBase() {
    private val questions = CallerQuestions()
    private val log = RateLimitedLog(logger, LINES_PER_SECOND, ::monotonicMs)

    override fun exchange(responseObserver: StreamObserver<AnswerFrame>): StreamObserver<RequestFrame> {
        val stream = responseObserver as ServerCallStreamObserver<AnswerFrame>
        stream.disableAutoRequest()
        val inbox = FrameInbox<RequestFrame> { stream.request(1) }
        val gate = SendGate { stream.isReady || stream.isCancelled }
        val run = ServedExchange(stream, inbox, gate, egress, incarnation, notices, questions)
        stream.setOnReadyHandler(gate::signal)
        stream.setOnCancelHandler {
            gate.fail("the calling daemon cancelled the exchange")
            inbox.finish(ReceiveResult.Failed("the calling daemon cancelled the exchange"))
            run.cancel()
        }
        stream.request(PREFETCHED_FRAMES)
        return receiver(inbox) { start(run, stream) }
    }

    override fun confirm(request: Confirmation, responseObserver: StreamObserver<ConfirmationReceipt>) {
        questions.answered(request.question, request.remainingMs)
        responseObserver.onNext(ConfirmationReceipt.getDefaultInstance())
        responseObserver.onCompleted()
    }

    override fun fence(request: FenceRequest, responseObserver: StreamObserver<FenceAnswer>) {
        val state =
            if (DaemonIncarnation(request.daemonIncarnation).runId != incarnation().runId) {
                FenceAnswer.State.OTHER_INCARNATION
            } else if (egress.fence(AttemptId(request.attemptId), request.ageMs) == FenceResult.NEVER_STARTED) {
                FenceAnswer.State.NEVER_STARTED
            } else {
                FenceAnswer.State.STARTED
            }
        log.write { LogEntry("asked whether an attempt has started", fenceFields(request, state)) }
        responseObserver.onNext(FenceAnswer.newBuilder().setState(state).build())
        responseObserver.onCompleted()
    }

    private fun fenceFields(request: FenceRequest, state: FenceAnswer.State): Map<String, Any> =
        mapOf("attempt" to request.attemptId, "ageMs" to request.ageMs, "answer" to state.name)

    private fun start(run: ServedExchange, stream: ServerCallStreamObserver<AnswerFrame>) {
        try {
            runners.execute(run::serve)
        } catch (_: RejectedExecutionException) {
            stream.onError(Status.RESOURCE_EXHAUSTED.asRuntimeException())
        }
    }

    private fun receiver(inbox: FrameInbox<RequestFrame>, onFirstFrame: () -> Unit): StreamObserver<RequestFrame> =
        object : StreamObserver<RequestFrame> {
            private var started = false

            override fun onNext(frame: RequestFrame) {
                inbox.deliver(frame)
                if (started) return
                started = true
                onFirstFrame()
            }

            override fun onError(error: Throwable) = inbox.finish(ReceiveResult.Failed(error.toString()))

            override fun onCompleted() = inbox.finish(ReceiveResult.Completed)
        }

    private companion object {
        const val PREFETCHED_FRAMES = 8
        const val LINES_PER_SECOND = 50
    }
}
