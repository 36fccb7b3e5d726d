package org.endivestep.logging

import ch.qos.logback.classic.spi.ILoggingEvent
import ch.qos.logback.core.AppenderBase
import ch.qos.logback.core.encoder.Encoder
import org.endivestep.concurrent.MpscQueue
import java.io.IOException
import java.io.OutputStream
import java.util.concurrent.atomic.AtomicLong

/**
 * Writes log events, encoded with [encoder], to [output] on a dedicated thread.
 *
 * Never blocks the logging thread: if the reader of [output] is so slow that the queue is full, lines
 * are dropped and counted, and the count is written before the next line.
 */
internal class LineAppender(private val encoder: Encoder<ILoggingEvent>, private val output: OutputStream) :
    AppenderBase<ILoggingEvent>() {
    private val queue = MpscQueue<ILoggingEvent>(QUEUE_LINES)
    private val dropped = AtomicLong()

    override fun start() {
        super.start()
        // A plain thread and not one of the daemon's background loops, because those log when a step fails.
        val writer = Thread(::writeLines, "log")
        writer.isDaemon = true
        writer.start()
        Runtime.getRuntime().addShutdownHook(Thread(::drain, "log-drain"))
    }

    override fun append(event: ILoggingEvent) {
        event.prepareForDeferredProcessing()
        if (!queue.offer(event)) dropped.incrementAndGet()
    }

    private fun writeLines() {
        while (isStarted) {
            val event = queue.poll(IDLE_MS) ?: continue
            write(event)
        }
    }

    // Waits for the queue to empty at exit, because the last lines of a process show how it stopped.
    private fun drain() {
        var remainingMs = MAX_DRAIN_MS
        while (queue.size > 0 && remainingMs > 0) {
            Thread.sleep(DRAIN_POLL_MS)
            remainingMs -= DRAIN_POLL_MS
        }
        Thread.sleep(DRAIN_POLL_MS)
    }

    private fun write(event: ILoggingEvent) {
        try {
            writeDroppedCount()
            output.write(encoder.encode(event))
            if (queue.size == 0) output.flush()
        } catch (_: IOException) {
            // The reader of the log is gone, and there is no other place to report that.
            dropped.incrementAndGet()
        }
    }

    private fun writeDroppedCount() {
        val count = dropped.getAndSet(0)
        if (count >
            0
        ) {
            output.write(
                "{\"level\":\"WARN\",\"formattedMessage\":\"$count log lines dropped, the log is read too slowly\"}\n".toByteArray(),
            )
        }
    }

    private companion object {
        const val QUEUE_LINES = 512
        const val IDLE_MS = 60_000L
        const val MAX_DRAIN_MS = 200L
        const val DRAIN_POLL_MS = 10L
    }
}
