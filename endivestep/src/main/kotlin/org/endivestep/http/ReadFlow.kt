package org.endivestep.http

import io.netty.channel.Channel
import java.util.concurrent.TimeUnit
import java.util.concurrent.atomic.AtomicInteger

/**
 * Pauses reading from [channel] while its reader lags behind, or while the response costs too much decoding.
 *
 * Confined to the event loop of the channel, except for [begin] and [consumed].
 */
internal class ReadFlow(private val channel: Channel) {
    private val queuedBytes = AtomicInteger()
    private val smallChunks = SmallChunkLimit()
    private var waitsForReader = false
    private var waitsForSmallChunks = false

    /** Begins an exchange, of which nothing is queued yet. */
    fun begin() = queuedBytes.set(0)

    /** Begins the response of an exchange. */
    fun beginResponse() = smallChunks.begin()

    /** Records that a part of [bytes] bytes was queued for the reader. */
    fun queued(bytes: Int) {
        if (queuedBytes.addAndGet(bytes) <= HIGH_WATERMARK_BYTES) return
        waitsForReader = true
        update()
    }

    /** Records that the reader has taken a part of [bytes] bytes. */
    fun consumed(bytes: Int) {
        val left = queuedBytes.addAndGet(-bytes)
        if (left < LOW_WATERMARK_BYTES && !channel.config().isAutoRead) channel.eventLoop().execute(::resumeForReader)
    }

    /** Records a decoded chunk of [bytes] bytes. */
    fun decoded(bytes: Int) {
        smallChunks.record(bytes)
        pauseForSmallChunks()
    }

    private fun resumeForReader() {
        if (queuedBytes.get() >= LOW_WATERMARK_BYTES) return
        waitsForReader = false
        update()
    }

    private fun pauseForSmallChunks() {
        if (waitsForSmallChunks) return
        val pauseMs = smallChunks.takePauseMs()
        if (pauseMs == 0L) return
        waitsForSmallChunks = true
        channel.eventLoop().schedule(::resumeAfterSmallChunks, pauseMs, TimeUnit.MILLISECONDS)
        update()
    }

    // The rest of the read that began the pause was decoded as well, and has to be paid for before the next one.
    private fun resumeAfterSmallChunks() {
        waitsForSmallChunks = false
        pauseForSmallChunks()
        update()
    }

    private fun update() {
        channel.config().isAutoRead = !waitsForReader && !waitsForSmallChunks
    }

    private companion object {
        const val HIGH_WATERMARK_BYTES = 262_144
        const val LOW_WATERMARK_BYTES = 65_536
    }
}
