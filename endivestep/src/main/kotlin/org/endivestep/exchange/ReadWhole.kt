package org.endivestep.exchange

import java.io.IOException
import java.io.InputStream

/**
 * Reads a body of at most [length] bytes to its end. An answer without a body may state the length
 * that the body would have, so fewer bytes than [length] are accepted.
 *
 * @throws IOException when reading fails or the body is longer than [length]
 */
internal fun InputStream.readWhole(length: Int): ByteArray {
    val bytes = ByteArray(length)
    val count = readNBytes(bytes, 0, length)
    if (read() >= 0) throw IOException("body is longer than $length bytes")
    return if (count == length) bytes else bytes.copyOf(count)
}
