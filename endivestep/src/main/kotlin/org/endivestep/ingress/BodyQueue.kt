package org.endivestep.ingress

import java.io.IOException
import java.io.InputStream

/** Body that is still arriving, from the thread of its connection to the thread that reads it. */
internal class BodyQueue : InputStream() {
    private val lock = Object()
    private val pieces = ArrayDeque<ByteArray>()
    private var position = 0
    private var queuedBytes = 0
    private var ended = false
    private var failure: String? = null
    private var paused = false

    /** Told when the sender should pause (true) or go on (false). */
    @Volatile
    var onFlow: (Boolean) -> Unit = { }

    fun put(bytes: ByteArray, ended: Boolean) =
        synchronized(lock) {
            if (bytes.isNotEmpty()) pieces.addLast(bytes)
            queuedBytes += bytes.size
            this.ended = this.ended || ended
            adjustFlow()
            lock.notifyAll()
        }

    fun breakOff(cause: String) =
        synchronized(lock) {
            failure = cause
            lock.notifyAll()
        }

    override fun read(): Int {
        val one = ByteArray(1)
        return if (read(one, 0, 1) < 0) -1 else one[0].toInt() and BYTE_MASK
    }

    override fun read(target: ByteArray, start: Int, count: Int): Int =
        synchronized(lock) {
            while (pieces.isEmpty()) {
                failure?.let { throw IOException(it) }
                if (ended) return -1
                lock.wait()
            }
            val piece = pieces.first()
            val taken = minOf(count, piece.size - position)
            piece.copyInto(target, start, position, position + taken)
            position += taken
            if (position == piece.size) {
                pieces.removeFirst()
                position = 0
            }
            queuedBytes -= taken
            adjustFlow()
            taken
        }

    private fun adjustFlow() {
        val pause = queuedBytes > if (paused) RESUME_BYTES else PAUSE_BYTES
        if (pause == paused) return
        paused = pause
        onFlow(pause)
    }

    private companion object {
        const val BYTE_MASK = 0xff
        const val PAUSE_BYTES = 1_048_576
        const val RESUME_BYTES = 262_144
    }
}
