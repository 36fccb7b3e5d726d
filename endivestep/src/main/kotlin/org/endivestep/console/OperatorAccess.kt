package org.endivestep.console

import io.github.oshai.kotlinlogging.KotlinLogging
import org.endivestep.settings.OperatorAccount
import org.endivestep.settings.passwordMatches
import org.http4k.core.Filter
import org.http4k.core.Request
import org.http4k.core.Response
import org.http4k.core.Status
import java.security.MessageDigest
import java.util.Base64
import java.util.concurrent.ConcurrentHashMap

private val logger = KotlinLogging.logger {}

/** Header that carries the operator's name to the handlers behind [operatorAccess]. */
internal const val OPERATOR_HEADER = "Endivestep-Operator"

/** Called when a sign-in is refused, with the user name given and the address of the client. */
internal typealias SignInRefusalListener = (name: String, source: String) -> Unit

/**
 * Returns a filter that admits only the operators of [accounts] (HTTP basic authentication) and
 * refuses forms that were submitted from another origin.
 */
internal fun operatorAccess(accounts: List<OperatorAccount>, onRefused: SignInRefusalListener): Filter {
    val verified = ConcurrentHashMap.newKeySet<String>()
    return Filter { next ->
        { request ->
            val name = authenticate(request, accounts, verified)
            when {
                name == null -> unauthorized(request, onRefused)
                isCrossOrigin(request) -> Response(Status.FORBIDDEN).body("the form was submitted from another origin")
                else -> next(request.replaceHeader(OPERATOR_HEADER, name))
            }
        }
    }
}

private fun authenticate(request: Request, accounts: List<OperatorAccount>, verified: MutableSet<String>): String? {
    val credentials = credentials(request) ?: return null
    val name = credentials.substringBefore(':')
    val account = accounts.firstOrNull { it.name == name } ?: return null
    val credentialsDigest = digest("$credentials/${account.passwordHash}")
    if (credentialsDigest in verified) return name
    if (!passwordMatches(credentials.substringAfter(':'), account.passwordHash)) return null
    verified += credentialsDigest
    return name
}

private fun credentials(request: Request): String? {
    val encoded = request.header("Authorization")?.removePrefix("Basic ") ?: return null
    return runCatching { String(Base64.getDecoder().decode(encoded)) }.getOrNull()?.takeIf { ':' in it }
}

private fun digest(text: String): String =
    Base64.getEncoder().encodeToString(MessageDigest.getInstance("SHA-256").digest(text.toByteArray()))

private fun unauthorized(request: Request, onRefused: SignInRefusalListener): Response {
    if (request.header("Authorization") != null) {
        val name = credentials(request)?.substringBefore(':').orEmpty().take(MAX_NAME_LENGTH)
        val source = request.source?.address.orEmpty()
        logger.warn { "sign-in of \"$name\" from $source refused" }
        onRefused(name, source)
    }
    return Response(Status.UNAUTHORIZED).header("WWW-Authenticate", "Basic realm=\"endivestep\"").body("sign in as an operator")
}

private const val MAX_NAME_LENGTH = 64

private fun isCrossOrigin(request: Request): Boolean {
    val origin = request.header("Origin") ?: return false
    return origin.substringAfter("://") != request.header("Host").orEmpty()
}
