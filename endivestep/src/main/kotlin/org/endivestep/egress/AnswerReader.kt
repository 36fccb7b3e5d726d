package org.endivestep.egress

import org.endivestep.http.HttpArrival
import org.endivestep.http.HttpConnection
import java.io.IOException
import java.io.InputStream

/**
 * Body of an answer on [connection]. A read throws [IOException] when the answer is cut or when
 * nothing comes within [patienceMs]. At the end of the answer [onWhole] gets the connection if it can
 * be used again; otherwise it is closed.
 */
internal class AnswerReader(private val connection: HttpConnection, private val patienceMs: () -> Long, private val onWhole: () -> Unit) :
    InputStream() {
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
        val taken = minOf(count, current.size - position)
        current.copyInto(target, start, position, position + taken)
        position += taken
        return taken
    }

    override fun close() {
        if (!ended) connection.close()
    }

    private fun fill(): Boolean {
        while (position == current.size) {
            if (ended) return false
            when (val arrival = connection.next(patienceMs())) {
                is HttpArrival.Content -> take(arrival.bytes)
                is HttpArrival.End -> finish(arrival.reusable)
                is HttpArrival.Failed -> cut(arrival.cause)
                is HttpArrival.Head -> cut("another answer came within it")
                HttpArrival.Late -> cut("it did not go on in time")
            }
        }
        return true
    }

    private fun cut(cause: String): Nothing = throw IOException("the answer is cut: $cause")

    private fun take(bytes: ByteArray) {
        current = bytes
        position = 0
    }

    private fun finish(reusable: Boolean) {
        ended = true
        if (reusable) onWhole() else connection.close()
    }

    private companion object {
        const val BYTE_MASK = 0xff
    }
}
