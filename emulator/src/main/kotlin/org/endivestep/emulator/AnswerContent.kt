package org.endivestep.emulator

import java.security.MessageDigest
import java.util.HexFormat
import java.util.SplittableRandom

/** The only right body of an answer to a request: it follows from the request's id, so that a caller can check it. */
internal object AnswerContent {
    private const val MAX_BYTES = 24_000

    /** Returns the body of the answer to [requestId]: the digest of the id, followed by bytes drawn from it. */
    fun of(requestId: String): ByteArray {
        val digest = digest(requestId.encodeToByteArray())
        val random = SplittableRandom(digest.hashCode().toLong())
        val filler = ByteArray(random.nextInt(MAX_BYTES))
        random.nextBytes(filler)
        return digest.encodeToByteArray() + filler
    }

    fun signature(requestId: String): String = "stamp.${digest(requestId.encodeToByteArray()).take(16)}"

    fun digest(bytes: ByteArray): String = HexFormat.of().formatHex(MessageDigest.getInstance("SHA-256").digest(bytes))
}
