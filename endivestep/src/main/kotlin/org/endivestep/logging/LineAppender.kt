package org.endivestep.logging

import ch.qos.logback.classic.spi.ILoggingEvent
import ch.qos.logback.core.AppenderBase
import ch.qos.logback.core.encoder.Encoder
import org.endivestep.ring.Ring
import java.io.IOException
import java.io.OutputStream
import java.util.concurrent.atomic.AtomicLong

/**
 * Writes each event with [encoder] to [output] on a thread of its own.
 *
 * Never blocks the thread that logs: when the reader of [output] is so slow that the ring is full, lines
 * are dropped and counted, and the count is written once there is room.
 */
internal class LineAppender(private val encoder: Encoder<ILoggingEvent>, private val output: OutputStream) :
    AppenderBase<ILoggingEvent>() {
    private val ring = Ring<ILoggingEvent>(RING_LINES)
    private val dropped = AtomicLong()

    override fun start() {
        super.start()
        // Not a duty of the daemon: those log when a step fails.
        val writer = Thread(::writeLines, "log")
        writer.isDaemon = true
        writer.start()
        Runtime.getRuntime().addShutdownHook(Thread(::drain, "log-drain"))
    }

    override fun append(event: ILoggingEvent) {
        event.prepareForDeferredProcessing()
        if (!ring.offer(event)) dropped.incrementAndGet()
    }

    private fun writeLines() {
        while (isStarted) {
            val event = ring.poll(IDLE_MS) ?: continue
            write(event)
        }
    }

    // The last lines of a process tell how it stopped.
    private fun drain() {
        var leftMs = MOST_DRAIN_MS
        while (ring.size > 0 && leftMs > 0) {
            Thread.sleep(DRAIN_STEP_MS)
            leftMs -= DRAIN_STEP_MS
        }
        Thread.sleep(DRAIN_STEP_MS)
    }

    private fun write(event: ILoggingEvent) {
        try {
            noteDropped()
            output.write(encoder.encode(event))
            if (ring.size == 0) output.flush()
        } catch (_: IOException) {
            // Nobody reads the log, and there is no other place to say so.
            dropped.incrementAndGet()
        }
    }

    private fun noteDropped() {
        val count = dropped.getAndSet(0)
        if (count >
            0
        ) {
            output.write(
                "{\"level\":\"WARN\",\"formattedMessage\":\"$count lines were dropped, the log is read too slowly\"}\n".toByteArray(),
            )
        }
    }

    private companion object {
        const val RING_LINES = 512
        const val IDLE_MS = 60_000L
        const val MOST_DRAIN_MS = 200L
        const val DRAIN_STEP_MS = 10L
    }
}
