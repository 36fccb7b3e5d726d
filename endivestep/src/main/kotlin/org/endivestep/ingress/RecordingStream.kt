package org.endivestep.ingress

import org.endivestep.claim.MAX_RECORDED_BODY_BYTES
import java.io.ByteArrayOutputStream
import java.io.FilterInputStream
import java.io.IOException
import java.io.InputStream

/** How a recorded answer ended. */
internal sealed interface Recording {
    /** The answer was complete; [body] is null when it was too long to record. */
    class Complete(val body: ByteArray?) : Recording

    data object Truncated : Recording
}

/** Copies a short answer body while it is read when [enabled], and calls [onEnd] once when the body ends. */
internal class RecordingStream(stream: InputStream, private val enabled: Boolean, private val onEnd: (Recording) -> Unit) :
    FilterInputStream(stream) {
    private val copy = ByteArrayOutputStream()
    private var tooLong = !enabled
    private var ended = false

    override fun read(): Int {
        val one = ByteArray(1)
        return if (read(one, 0, 1) < 0) -1 else one[0].toInt() and BYTE_MASK
    }

    override fun read(target: ByteArray, start: Int, count: Int): Int {
        val taken =
            try {
                super.read(target, start, count)
            } catch (e: IOException) {
                end(Recording.Truncated)
                throw e
            }
        if (taken < 0) end(Recording.Complete(if (tooLong) null else copy.toByteArray())) else append(target, start, taken)
        return taken
    }

    override fun close() {
        end(Recording.Truncated)
        super.close()
    }

    private fun append(bytes: ByteArray, start: Int, count: Int) {
        if (tooLong) return
        tooLong = copy.size() + count > MAX_RECORDED_BODY_BYTES
        if (!tooLong) copy.write(bytes, start, count)
    }

    private fun end(recording: Recording) {
        if (ended) return
        ended = true
        onEnd(recording)
    }

    private companion object {
        const val BYTE_MASK = 0xff
    }
}
