package org.endivestep.protocol

import org.endivestep.protocol.v1.BodyChunk
import org.endivestep.protocol.v1.BodyEnd
import java.io.IOException
import java.io.InputStream
import java.nio.ByteBuffer
import java.util.zip.CRC32C

/** Next body frame received from the remote side. */
internal sealed interface BodyFrame {
    class Chunk(val chunk: BodyChunk) : BodyFrame

    class End(val end: BodyEnd) : BodyFrame

    /** The stream failed. */
    class Failed(val cause: String) : BodyFrame

    /** No frame was received within the timeout. */
    data object TimedOut : BodyFrame
}

/**
 * Reassembles a body from frames. The end of the stream is reported only after an end frame whose frame count,
 * length and checksum match the chunks received; otherwise a read throws [IOException]. Closing the stream
 * before its end calls [onClose] with false.
 */
internal class BodyInputStream(private val next: () -> BodyFrame, private val onClose: (complete: Boolean) -> Unit) : InputStream() {
    private val checksum = CRC32C()
    private var current = ByteBuffer.allocate(0)
    private var frames = 0
    private var length = 0L
    private var ended = false
    private var closed = false
    private var failure: IOException? = null

    override fun read(): Int {
        val one = ByteArray(1)
        return if (read(one, 0, 1) < 0) -1 else one[0].toInt() and BYTE_MASK
    }

    override fun read(target: ByteArray, start: Int, count: Int): Int {
        if (count == 0) return 0
        if (!fill()) return -1
        val copied = minOf(count, current.remaining())
        current.get(target, start, copied)
        return copied
    }

    override fun close() {
        if (closed) return
        closed = true
        onClose(ended)
    }

    private fun fill(): Boolean {
        while (!current.hasRemaining()) {
            if (ended) return false
            failure?.let { throw it }
            when (val frame = next()) {
                is BodyFrame.Chunk -> accept(frame.chunk)
                is BodyFrame.End -> finish(frame.end)
                is BodyFrame.Failed -> fail(frame.cause)
                BodyFrame.TimedOut -> fail("no frame received in time")
            }
        }
        return true
    }

    private fun accept(chunk: BodyChunk) {
        if (chunk.index != frames) fail("expected chunk $frames but received chunk ${chunk.index}")
        frames++
        length += chunk.bytes.size()
        chunk.bytes.asReadOnlyByteBufferList().forEach(checksum::update)
        current = chunk.bytes.asReadOnlyByteBuffer()
    }

    private fun finish(end: BodyEnd) {
        val matches = end.frames == frames && end.length == length && end.checksum == checksum.value.toInt()
        if (!matches) fail("end frame does not match the chunks: received $length of ${end.length} bytes")
        ended = true
    }

    private fun fail(cause: String) {
        val exception = IOException("body truncated: $cause")
        failure = exception
        throw exception
    }

    private companion object {
        const val BYTE_MASK = 0xff
    }
}
