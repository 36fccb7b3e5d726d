package org.endivestep.http

import io.netty.handler.codec.http.HttpMessage
import io.netty.handler.codec.http.HttpResponseDecoder

private const val MAX_LINE_BYTES = 4_096
private const val MAX_HEADER_BYTES = 65_536
private const val MAX_CHUNK_BYTES = 16_384

private val statusCode = Regex("[1-5][0-9]{2}")

/**
 * Decodes the responses on a connection that carries one request at a time; [answersHead] when its method is HEAD. A response whose
 * status is not three digits from 100 to 599 cannot be decoded, as RFC 9110, section 15, defines no others.
 */
internal class ResponseDecoder(private val answersHead: () -> Boolean) :
    HttpResponseDecoder(MAX_LINE_BYTES, MAX_HEADER_BYTES, MAX_CHUNK_BYTES) {
    /** Number of received bytes behind the message that was decoded last. */
    val undecodedBytes: Int get() = actualReadableBytes()

    override fun createMessage(initialLine: Array<String>): HttpMessage {
        require(statusCode.matches(initialLine[STATUS_INDEX])) { "the status is not three digits from 100 to 599" }
        return super.createMessage(initialLine)
    }

    override fun isContentAlwaysEmpty(message: HttpMessage): Boolean = answersHead() || super.isContentAlwaysEmpty(message)

    private companion object {
        const val STATUS_INDEX = 1
    }
}
