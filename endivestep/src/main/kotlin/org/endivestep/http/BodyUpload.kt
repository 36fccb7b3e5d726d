package org.endivestep.http

import io.netty.buffer.Unpooled
import io.netty.channel.Channel
import io.netty.handler.codec.http.DefaultHttpContent
import io.netty.handler.codec.http.LastHttpContent
import org.endivestep.exchange.RequestBody
import java.io.IOException
import java.util.concurrent.TimeUnit

private const val CHUNK_BYTES = 16_384

/** Sends a streamed request body on [channel], on which the head of the request has been written. */
internal class BodyUpload(private val channel: Channel, private val body: RequestBody.Streamed) {
    private val stream = body.open()

    /**
     * Sends the body; blocks. Throws [IOException] when reading it fails or it differs from its stated length. When it is not
     * sent within [timeoutMs], because its sender or its receiver is too slow, the body and the channel are closed.
     */
    fun send(timeoutMs: Long) {
        val timeout = channel.eventLoop().schedule(Runnable(::abandon), timeoutMs, TimeUnit.MILLISECONDS)
        try {
            sendChunks()
        } finally {
            timeout.cancel(false)
        }
    }

    // Closing both ends wakes the thread that sends the body, whichever of them it waits for.
    private fun abandon() {
        channel.close()
        stream.close()
    }

    private fun sendChunks() {
        val buffer = ByteArray(CHUNK_BYTES)
        var length = 0L
        while (channel.isActive) {
            val count = stream.read(buffer)
            if (count < 0) break
            length += count
            // The peer would read bytes beyond the stated length as another request.
            if (body.length in 0 until length) throw IOException("request body is longer than its stated ${body.length} bytes")
            val written = channel.writeAndFlush(DefaultHttpContent(Unpooled.copiedBuffer(buffer, 0, count))).await()
            if (!written.isSuccess) channel.close()
        }
        if (!channel.isActive) return
        // The peer would read the next request as the rest of the body.
        if (length < body.length) throw IOException("request body has $length of its stated ${body.length} bytes")
        channel.writeAndFlush(LastHttpContent.EMPTY_LAST_CONTENT)
    }
}
