package org.endivestep.ingress

import java.io.IOException
import java.io.InputStream

/** Request body that is still being received; passes bytes from the connection's event loop to the thread that reads them. */
internal class BodyQueue : InputStream() {
    private val lock = Object()
    private val chunks = ArrayDeque<ByteArray>()
    private var position = 0
    private var queuedBytes = 0
    private var ended = false
    private var failure: String? = null
    private var paused = false
    private var closed = false

    /** Called with true to pause the sender and with false to resume it. */
    @Volatile
    var onBackpressure: (Boolean) -> Unit = { }

    fun put(bytes: ByteArray, ended: Boolean) =
        synchronized(lock) {
            if (closed) return
            if (bytes.isNotEmpty()) chunks.addLast(bytes)
            queuedBytes += bytes.size
            this.ended = this.ended || ended
            updateBackpressure()
            lock.notifyAll()
        }

    fun fail(cause: String) =
        synchronized(lock) {
            failure = cause
            lock.notifyAll()
        }

    /** Drops what is queued and all that follows; a read that waits, or begins later, fails. */
    override fun close() =
        synchronized(lock) {
            closed = true
            chunks.clear()
            queuedBytes = 0
            updateBackpressure()
            fail("the request body is no longer read")
        }

    override fun read(): Int {
        val one = ByteArray(1)
        return if (read(one, 0, 1) < 0) -1 else one[0].toInt() and BYTE_MASK
    }

    override fun read(target: ByteArray, start: Int, count: Int): Int =
        synchronized(lock) {
            while (chunks.isEmpty()) {
                failure?.let { throw IOException(it) }
                if (ended) return -1
                lock.wait()
            }
            val chunk = chunks.first()
            val copied = minOf(count, chunk.size - position)
            chunk.copyInto(target, start, position, position + copied)
            position += copied
            if (position == chunk.size) {
                chunks.removeFirst()
                position = 0
            }
            queuedBytes -= copied
            updateBackpressure()
            copied
        }

    private fun updateBackpressure() {
        val pause = queuedBytes > if (paused) LOW_WATERMARK_BYTES else HIGH_WATERMARK_BYTES
        if (pause == paused) return
        paused = pause
        onBackpressure(pause)
    }

    private companion object {
        const val BYTE_MASK = 0xff
        const val HIGH_WATERMARK_BYTES = 1_048_576
        const val LOW_WATERMARK_BYTES = 262_144
    }
}
