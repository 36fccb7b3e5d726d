package org.endivestep.http

import io.netty.handler.codec.http.HttpMessage
import io.netty.handler.codec.http.HttpResponseDecoder

private const val MAX_LINE_BYTES = 4_096
private const val MAX_HEADER_BYTES = 65_536
private const val MAX_CHUNK_BYTES = 16_384

/** Decodes the responses on a connection that carries one request at a time; [answersHead] when its method is HEAD. */
internal class ResponseDecoder(private val answersHead: () -> Boolean) :
    HttpResponseDecoder(MAX_LINE_BYTES, MAX_HEADER_BYTES, MAX_CHUNK_BYTES) {
    /** Number of received bytes behind the message that was decoded last. */
    val undecodedBytes: Int get() = actualReadableBytes()

    override fun isContentAlwaysEmpty(message: HttpMessage): Boolean = answersHead() || super.isContentAlwaysEmpty(message)
}
