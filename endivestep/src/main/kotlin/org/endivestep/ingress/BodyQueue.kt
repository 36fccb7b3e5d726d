package org.endivestep.ingress

import java.io.IOException
import java.io.InputStream

/**
 * Request body that is still being received; passes bytes from the connection's event loop to the thread that reads them.
 * It begins with the bytes in [queued].
 */
internal class BodyQueue(private val queued: ByteBlocks = ByteBlocks()) : InputStream() {
    private val lock = Object()
    private var ended = false
    private var failure: String? = null
    private var paused = queued.size > HIGH_WATERMARK_BYTES
    private var closed = false
    private var backpressure: (Boolean) -> Unit = { }

    /** Sets the listener that is called with true to pause the sender, at once if it must pause now, and with false to resume it. */
    fun onBackpressure(listener: (Boolean) -> Unit) =
        synchronized(lock) {
            backpressure = listener
            if (paused) listener(true)
        }

    fun put(bytes: ByteArray, ended: Boolean) =
        synchronized(lock) {
            if (closed) return
            queued.append(bytes)
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
            queued.clear()
            updateBackpressure()
            fail("the request body is no longer read")
        }

    override fun read(): Int {
        val one = ByteArray(1)
        return if (read(one, 0, 1) < 0) -1 else one[0].toInt() and BYTE_MASK
    }

    override fun read(target: ByteArray, start: Int, count: Int): Int =
        synchronized(lock) {
            if (count == 0) return 0
            while (queued.size == 0) {
                failure?.let { throw IOException(it) }
                if (ended) return -1
                lock.wait()
            }
            queued.read(target, start, count).also { updateBackpressure() }
        }

    private fun updateBackpressure() {
        val pause = queued.size > if (paused) LOW_WATERMARK_BYTES else HIGH_WATERMARK_BYTES
        if (pause == paused) return
        paused = pause
        backpressure(pause)
    }

    private companion object {
        const val BYTE_MASK = 0xff
        const val HIGH_WATERMARK_BYTES = 262_144
        const val LOW_WATERMARK_BYTES = 65_536
    }
}
