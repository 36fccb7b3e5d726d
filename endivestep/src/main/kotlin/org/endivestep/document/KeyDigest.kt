package org.endivestep.document

import java.nio.charset.Charset
import java.security.MessageDigest

/** SHA-256 digest of a key. A comparison of digests takes a time that reveals nothing about the keys. */
internal class KeyDigest private constructor(private val bytes: ByteArray) {
    override fun equals(other: Any?): Boolean = other is KeyDigest && MessageDigest.isEqual(bytes, other.bytes)

    override fun hashCode(): Int = bytes.contentHashCode()

    override fun toString(): String = "KeyDigest"

    companion object {
        /** Returns the digest of [key], whose text is encoded in [charset]. */
        fun of(key: ApiKey, charset: Charset = Charsets.UTF_8): KeyDigest =
            KeyDigest(MessageDigest.getInstance("SHA-256").digest(key.secret.toByteArray(charset)))
    }
}
