package org.endivestep.ingress

import org.endivestep.exchange.RequestBody
import org.endivestep.identity.Fingerprint
import org.endivestep.identity.toHexadecimal
import java.security.MessageDigest

private const val ORIGIN_BYTES = 8

/** What tells a request apart from others with the same method, path and body. [team] is empty for a request without a team. */
internal data class RequestOrigin(
    val service: String,
    val host: String,
    val callerService: String,
    val idempotencyKey: String,
    val team: String = "",
)

/** Returns the fingerprint of a request. A streamed body contributes only its length, so that it need not be read. */
internal fun requestFingerprint(method: String, path: String, body: RequestBody, origin: RequestOrigin): Fingerprint {
    val digest = MessageDigest.getInstance("MD5")
    digest.update("$method\n$path\n".toByteArray())
    when (body) {
        is RequestBody.Inline -> digest.update(body.bytes)
        is RequestBody.Streamed -> digest.update("${body.length}".toByteArray())
    }
    val signature = digest.digest()
    digest.update("${origin.service}\n${origin.host}\n${origin.callerService}\n${origin.idempotencyKey}".toByteArray())
    if (origin.team.isNotEmpty()) digest.update("\n${origin.team}".toByteArray())
    val originDigest = digest.digest().copyOf(ORIGIN_BYTES)
    return Fingerprint("${signature.toHexadecimal()}.${originDigest.toHexadecimal()}")
}
