package org.endivestep.ingress

import org.endivestep.document.ApiKey
import org.endivestep.document.KeyDigest
import org.endivestep.document.RouteRule
import org.endivestep.document.Team
import org.endivestep.document.TeamTable

/** Scheme of the credentials by which a caller states a key. */
internal const val CREDENTIALS_SCHEME = "Bearer"

/** What the credentials of a request say about its caller. */
internal sealed interface CallerIdentity {
    /** The configuration has no teams: the headers of a request mean nothing to the daemon and are passed on. */
    data object NotConfigured : CallerIdentity

    /** The route needs no key, so a request has no team, whatever credentials it bears. */
    data object Anonymous : CallerIdentity

    class Member(val team: Team) : CallerIdentity

    /** The route needs a key. [bearsKey] tells whether the request bears one that is well-formed but belongs to no team. */
    data class Refused(val bearsKey: Boolean) : CallerIdentity
}

/** Returns the identity of the caller that sent [request] on the route [rule], whose key is in the header [credentialsName]. */
internal fun callerIdentity(teams: TeamTable, rule: RouteRule, request: CallerRequest, credentialsName: String): CallerIdentity {
    if (teams.isEmpty) return CallerIdentity.NotConfigured
    if (rule.isPublic) return CallerIdentity.Anonymous
    val credentials = request.headers.filter { it.name.equals(credentialsName, ignoreCase = true) }
    val key = credentials.singleOrNull()?.let { bearerKey(it.value) } ?: return CallerIdentity.Refused(bearsKey = false)
    // A header's bytes are decoded as ISO 8859-1, so that encoding returns the bytes that the caller sent.
    val team = teams.find(KeyDigest.of(key, Charsets.ISO_8859_1)) ?: return CallerIdentity.Refused(bearsKey = true)
    return CallerIdentity.Member(team)
}

// RFC 9110, section 11.4: the scheme in any case, at least one space, and the key. An empty key identifies nobody.
private fun bearerKey(credentials: String): ApiKey? {
    val text = credentials.trim(' ', '\t')
    if (!text.startsWith("$CREDENTIALS_SCHEME ", ignoreCase = true)) return null
    return text.substring(CREDENTIALS_SCHEME.length).trim(' ').takeIf { it.isNotEmpty() }?.let(::ApiKey)
}
