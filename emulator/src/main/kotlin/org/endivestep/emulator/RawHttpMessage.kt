package org.endivestep.emulator

import java.io.ByteArrayOutputStream
import java.io.EOFException
import java.io.InputStream

/** An HTTP/1.1 message as it stood on the connection; [headers] are by lower-case name, and of equal names the last one counts. */
internal class RawHttpMessage(val startLine: String, val headers: Map<String, String>, val body: ByteArray) {
    fun header(name: String): String? = headers[name.lowercase()]

    companion object {
        /**
         * Reads the next message from [input], or returns null when the connection ended before its first byte.
         *
         * A message without length and chunks has no body, unless [endsWithConnection]. Throws [EOFException] when the message is
         * truncated, and [IllegalArgumentException] when the bytes are not HTTP/1.1.
         */
        fun read(input: InputStream, endsWithConnection: Boolean = false): RawHttpMessage? {
            val startLine = line(input) ?: return null
            require("HTTP/1.1" in startLine) { "not the first line of an HTTP/1.1 message: $startLine" }
            val headers = generateSequence {
                (line(input) ?: throw EOFException("the head is truncated")).ifEmpty { null }
            }.associate(::header)
            val length = headers["content-length"]?.toInt()
            val body =
                when {
                    headers["transfer-encoding"] == "chunked" -> chunks(input)
                    length != null -> exactly(input, length)
                    endsWithConnection -> input.readAllBytes()
                    else -> ByteArray(0)
                }
            return RawHttpMessage(startLine, headers, body)
        }

        /** Returns [body] as one chunk with the end of the chunks. */
        fun chunked(body: ByteArray): ByteArray =
            if (body.isEmpty()) {
                "0\r\n\r\n".toByteArray()
            } else {
                "${body.size.toString(16)}\r\n".toByteArray() + body +
                    "\r\n0\r\n\r\n".toByteArray()
            }

        private fun header(line: String): Pair<String, String> {
            require(':' in line) { "not a header: $line" }
            return line.substringBefore(':').lowercase() to line.substringAfter(':').trim()
        }

        private fun chunks(input: InputStream): ByteArray {
            val body = ByteArrayOutputStream()
            while (true) {
                val size = (line(input) ?: throw EOFException("the body ends before its last chunk")).substringBefore(';').toInt(16)
                body.write(exactly(input, size))
                if (size > 0) line(input) else break
            }
            while (!line(input).isNullOrEmpty()) Unit
            return body.toByteArray()
        }

        private fun exactly(input: InputStream, count: Int): ByteArray {
            val bytes = input.readNBytes(count)
            if (bytes.size < count) throw EOFException("${bytes.size} of $count bytes arrived")
            return bytes
        }

        private fun line(input: InputStream): String? {
            val line = ByteArrayOutputStream()
            while (true) {
                val byte = input.read()
                if (byte < 0 && line.size() == 0) return null
                if (byte < 0) throw EOFException("a line is truncated")
                if (byte == '\n'.code) return line.toString(Charsets.ISO_8859_1).trimEnd('\r')
                line.write(byte)
            }
        }
    }
}
