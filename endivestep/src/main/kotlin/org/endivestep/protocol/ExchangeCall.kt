package org.endivestep.protocol

import io.grpc.Attributes
import io.grpc.CallOptions
import io.grpc.Channel
import io.grpc.ClientCall
import io.grpc.ClientStreamTracer
import io.grpc.Metadata
import io.grpc.Status
import org.endivestep.exchange.Deadline
import org.endivestep.exchange.monotonicMs
import org.endivestep.protocol.v1.AnswerFrame
import org.endivestep.protocol.v1.ExchangesGrpc
import org.endivestep.protocol.v1.RequestFrame
import org.endivestep.protocol.v1.RequestHead
import java.io.IOException
import java.io.InputStream
import java.util.concurrent.atomic.AtomicBoolean

/**
 * Client side of one exchange stream to another daemon, with blocking reads and writes under flow control, until [deadline]. The frames
 * tell the time of [peerClock].
 */
internal class ExchangeCall(
    channel: Channel,
    options: CallOptions,
    private val deadline: Deadline,
    private val peerClock: PeerClock,
    /** Called on the transport thread with the number of a question whether the caller still waits; must not block. */
    private val onQuestion: (number: Long) -> Unit = { },
) {
    private val created = AtomicBoolean()
    private val tracer =
        object : ClientStreamTracer.Factory() {
            override fun newClientStreamTracer(info: ClientStreamTracer.StreamInfo, headers: Metadata): ClientStreamTracer =
                object : ClientStreamTracer() {
                    override fun streamCreated(transport: Attributes, headers: Metadata) = created.set(true)
                }
        }
    private val call: ClientCall<RequestFrame, AnswerFrame> =
        channel.newCall(ExchangesGrpc.getExchangeMethod(), options.withStreamTracerFactory(tracer))
    private val inbox = FrameInbox<AnswerFrame> { call.request(1) }
    private val gate = SendGate { call.isReady }

    /**
     * Whether any byte of the call may have been sent, or may still be sent. This is true once the stream
     * was created on a connection, because data queued on a connection is sent even when the call is cancelled.
     * After [cancel] the value no longer changes.
     */
    val wasSent: Boolean get() = created.get()

    private val listener =
        object : ClientCall.Listener<AnswerFrame>() {
            override fun onMessage(message: AnswerFrame) {
                if (message.hasQuestion()) peerClock.reset()
                if (message.hasClockMs()) peerClock.note(message.clockMs, monotonicMs())
                if (!message.hasQuestion()) return inbox.deliver(message)
                call.request(1)
                onQuestion(message.question.number)
            }

            override fun onReady() = gate.signal()

            override fun onClose(status: Status, trailers: Metadata) {
                gate.fail("the remote daemon closed the stream")
                inbox.finish(if (status.isOk) ReceiveResult.Completed else ReceiveResult.Failed(status.toString()))
            }
        }

    /** Sends the head, and half-closes the call unless it [streamsBody]. */
    fun start(head: RequestHead, streamsBody: Boolean) {
        call.start(listener, Metadata())
        call.request(PREFETCHED_FRAMES)
        call.sendMessage(RequestFrame.newBuilder().setHead(head).build())
        if (!streamsBody) call.halfClose()
    }

    fun next(timeoutMs: Long): ReceiveResult<AnswerFrame> = inbox.next(timeoutMs)

    /** Ends a wait in [next] early. */
    fun wake() = inbox.wake()

    fun cancel(cause: String) = call.cancel(cause, null)

    /** Sends the body. A body that fails cancels the call, so that the receiver cannot take it for complete. */
    fun upload(stream: InputStream) {
        try {
            val sender =
                BodySender(
                    chunk = { send(RequestFrame.newBuilder().setChunk(it).build()) },
                    end = { send(RequestFrame.newBuilder().setEnd(it).build()) },
                )
            sender.send(stream)
            call.halfClose()
        } catch (e: IOException) {
            call.cancel("sending the request body failed", e)
        } catch (e: IllegalStateException) {
            // The call was cancelled or closed while the body was being sent.
            call.cancel("the call ended before the request body was sent", e)
        }
    }

    /** Returns the body of the answer whose head was received. [onSilence] is called when a part of it does not arrive in time. */
    fun body(onSilence: () -> Unit): InputStream =
        BodyInputStream({ nextBodyFrame(onSilence) }) { complete -> if (!complete) cancel("the answer body was closed before its end") }

    private fun send(frame: RequestFrame) {
        gate.await(answerWaitMs(deadline))
        call.sendMessage(frame)
    }

    private fun nextBodyFrame(onSilence: () -> Unit): BodyFrame {
        val frame = inbox.nextBodyFrame(answerWaitMs(deadline), ::bodyFrame)
        if (frame == BodyFrame.TimedOut) onSilence()
        return frame
    }

    private fun bodyFrame(frame: AnswerFrame): BodyFrame =
        when (frame.frameCase) {
            AnswerFrame.FrameCase.CHUNK -> BodyFrame.Chunk(frame.chunk)
            AnswerFrame.FrameCase.END -> BodyFrame.End(frame.end)
            else -> BodyFrame.Failed("unexpected frame ${frame.frameCase}")
        }

    private companion object {
        const val PREFETCHED_FRAMES = 8
    }
}
