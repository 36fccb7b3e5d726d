package org.endivestep.protocol

import org.endivestep.concurrent.MpscQueue
import org.endivestep.exchange.monotonicMs
import java.util.concurrent.atomic.AtomicReference

/**
 * Queue of received frames of one stream, from the transport thread to the reading thread.
 *
 * The reader requests each further frame through [requestNext], so that a slow reader applies backpressure to
 * the sender.
 */
internal class FrameInbox<T : Any>(private val requestNext: () -> Unit) {
    private val queue = MpscQueue<ReceiveResult<T>>(QUEUE_CAPACITY)
    private val end = AtomicReference<ReceiveResult<T>?>(null)

    /** Enqueues a received frame; flow control of the stream keeps the queue from overflowing. */
    fun deliver(frame: T) {
        if (!queue.offer(ReceiveResult.Frame(frame))) finish(ReceiveResult.Failed("received more frames than requested"))
    }

    fun finish(result: ReceiveResult<T>) {
        if (end.compareAndSet(null, result)) queue.offer(result)
    }

    /** Ends a wait in [next] early. */
    fun wake() {
        queue.offer(ReceiveResult.Woken)
    }

    /** Waits for the next frame; after the last frame, every call returns the end of the stream. */
    fun next(timeoutMs: Long): ReceiveResult<T> {
        val result = queue.poll(if (end.get() == null) timeoutMs.coerceAtLeast(0) else 0)
        if (result is ReceiveResult.Frame) requestNext()
        return result ?: end.get() ?: ReceiveResult.TimedOut
    }

    /** Waits at most [timeoutMs] for the next body frame, which [convert] extracts from the frame of the stream. */
    fun nextBodyFrame(timeoutMs: Long, convert: (T) -> BodyFrame): BodyFrame =
        when (val result = nextUnlessWoken(timeoutMs)) {
            is ReceiveResult.Frame -> convert(result.frame)
            is ReceiveResult.Failed -> BodyFrame.Failed(result.cause)
            ReceiveResult.Completed -> BodyFrame.Failed("the stream ended before the end frame")
            ReceiveResult.TimedOut, ReceiveResult.Woken -> BodyFrame.TimedOut
        }

    private fun nextUnlessWoken(timeoutMs: Long): ReceiveResult<T> {
        val untilMs = monotonicMs() + timeoutMs
        while (true) {
            val result = next(untilMs - monotonicMs())
            if (result != ReceiveResult.Woken) return result
        }
    }

    private companion object {
        const val QUEUE_CAPACITY = 64
    }
}
