package org.endivestep.egress

import org.endivestep.http.HttpConnection
import org.endivestep.http.HttpResponseEvent
import java.io.IOException
import java.io.InputStream

/**
 * Reads the body of an answer from [connection]. A read throws [IOException] when the answer is truncated or has
 * not arrived to its end after [remainingMs]: a faulty worker may send a body without end. At the end of the
 * answer, [onComplete] is called if the connection can be reused; otherwise the connection is closed.
 */
internal class AnswerReader(
    private val connection: HttpConnection,
    private val remainingMs: () -> Long,
    private val onComplete: () -> Unit,
) : InputStream() {
    private var current = ByteArray(0)
    private var position = 0
    private var ended = false

    override fun read(): Int {
        val one = ByteArray(1)
        return if (read(one, 0, 1) < 0) -1 else one[0].toInt() and BYTE_MASK
    }

    override fun read(target: ByteArray, start: Int, count: Int): Int {
        if (count == 0) return 0
        if (!fill()) return -1
        val copied = minOf(count, current.size - position)
        current.copyInto(target, start, position, position + copied)
        position += copied
        return copied
    }

    override fun close() {
        if (!ended) connection.close()
    }

    private fun fill(): Boolean {
        while (position == current.size) {
            if (ended) return false
            when (val event = connection.next(waitMs())) {
                is HttpResponseEvent.Content -> setCurrent(event.bytes)
                is HttpResponseEvent.End -> finish(event.reusable)
                is HttpResponseEvent.Failed -> failTruncated(event.cause)
                is HttpResponseEvent.Head -> failTruncated("another answer started before its end")
                HttpResponseEvent.NotSent -> failTruncated("its request was not sent")
                HttpResponseEvent.TimedOut -> failTruncated("no data arrived before the deadline")
            }
        }
        return true
    }

    private fun waitMs(): Long {
        // The end of a whole response is about to be queued, if it is not queued yet.
        val leftMs = remainingMs()
        if (connection.hasWholeResponse) return maxOf(leftMs, WHOLE_RESPONSE_WAIT_MS)
        if (leftMs <= 0) failTruncated("it did not end before the deadline")
        return leftMs
    }

    private fun failTruncated(cause: String): Nothing = throw IOException("worker's answer truncated: $cause")

    private fun setCurrent(bytes: ByteArray) {
        current = bytes
        position = 0
    }

    private fun finish(reusable: Boolean) {
        ended = true
        if (reusable) onComplete() else connection.close()
    }

    private companion object {
        const val WHOLE_RESPONSE_WAIT_MS = 1_000L
        const val BYTE_MASK = 0xff
    }
}
