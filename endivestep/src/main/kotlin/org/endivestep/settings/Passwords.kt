package org.endivestep.settings

import java.security.MessageDigest
import java.security.SecureRandom
import java.util.Base64
import javax.crypto.SecretKeyFactory
import javax.crypto.spec.PBEKeySpec

private const val ITERATIONS = 60_000
private const val SALT_BYTES = 16
private const val HASH_BITS = 256
private const val HASH_PARTS = 3

/** Returns a salted PBKDF2 hash of [password] as `iterations:salt:hash`, with the salt and the hash in Base64. */
internal fun hashPassword(password: String): String {
    val salt = ByteArray(SALT_BYTES).also { SecureRandom().nextBytes(it) }
    val encoder = Base64.getEncoder()
    return "$ITERATIONS:${encoder.encodeToString(salt)}:${encoder.encodeToString(derive(password, salt, ITERATIONS))}"
}

/** Returns whether [password] matches [hash]; a malformed hash matches no password. */
internal fun passwordMatches(password: String, hash: String): Boolean {
    if (!isPasswordHash(hash)) return false
    val parts = hash.split(':')
    val decoder = Base64.getDecoder()
    val derived = derive(password, decoder.decode(parts[1]), parts[0].toInt())
    return MessageDigest.isEqual(derived, decoder.decode(parts[2]))
}

internal fun isPasswordHash(hash: String): Boolean {
    val parts = hash.split(':')
    val iterations = parts[0].toIntOrNull() ?: return false
    return parts.size == HASH_PARTS && iterations > 0 && parts.drop(1).all(::isBase64)
}

private fun isBase64(text: String): Boolean =
    runCatching { Base64.getDecoder().decode(text) }.getOrNull()?.isNotEmpty() == true

private fun derive(password: String, salt: ByteArray, iterations: Int): ByteArray {
    val spec = PBEKeySpec(password.toCharArray(), salt, iterations, HASH_BITS)
    return SecretKeyFactory.getInstance("PBKDF2WithHmacSHA256").generateSecret(spec).encoded
}
