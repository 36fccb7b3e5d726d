package org.endivestep.protocol

import com.google.protobuf.ByteString
import org.endivestep.protocol.v1.BodyChunk
import org.endivestep.protocol.v1.BodyEnd
import java.io.IOException
import java.io.InputStream
import java.util.zip.CRC32C

private const val CHUNK_BYTES = 16_384

/** Sends one body as numbered chunks, followed by an end frame with the frame count, length and checksum. */
internal class BodySender(private val chunk: (BodyChunk) -> Unit, private val end: (BodyEnd) -> Unit) {
    /** Sends all of [stream]; throws [IOException] without sending an end frame when the stream cannot be read. */
    fun send(stream: InputStream) {
        val checksum = CRC32C()
        var frames = 0
        var length = 0L
        val buffer = ByteArray(CHUNK_BYTES)
        while (true) {
            val count = stream.read(buffer)
            if (count < 0) break
            if (count == 0) continue
            checksum.update(buffer, 0, count)
            length += count
            chunk(BodyChunk.newBuilder().setIndex(frames++).setBytes(ByteString.copyFrom(buffer, 0, count)).build())
        }
        end(BodyEnd.newBuilder().setFrames(frames).setLength(length).setChecksum(checksum.value.toInt()).build())
    }
}
