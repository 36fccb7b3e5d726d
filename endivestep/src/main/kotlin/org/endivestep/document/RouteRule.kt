package org.endivestep.document

import org.endivestep.identity.KindName
import org.endivestep.identity.ServiceName

/**
 * Routing rule for the requests to one host below one path prefix. Durations are in ms.
 *
 * An answer within [objectiveMs] is in time; a request without an answer after [timeoutMs] times out.
 * [priority] 0 is the highest. A request is attempted at most [maxAttempts] times, not counting reroutes. Callers of a
 * [isPublic] route need no key.
 */
internal data class RouteRule(
    val name: KindName,
    val host: String,
    val pathPrefix: String,
    val destinations: List<WeightedDestination>,
    val semantics: RequestSemantics,
    val objectiveMs: Long,
    val timeoutMs: Long,
    val maxAttempts: Int,
    val priority: Int,
    val isPublic: Boolean = false,
) {
    init {
        require(destinations.isNotEmpty()) { "route ${name.text} has no destination" }
    }
}

/** A service that receives a share of a route's requests in proportion to [weight]. */
internal data class WeightedDestination(val service: ServiceName, val weight: Int)

/** Routing rules by host and path prefix. */
internal class RouteTable(val rules: List<RouteRule>) {
    private val byHost = rules.groupBy { it.host }.mapValues { (_, ofHost) -> ofHost.sortedByDescending { it.pathPrefix.length } }

    private val byName = rules.associateBy { it.name }

    /** Returns the rule called [name], or null when there is none. */
    fun find(name: KindName): RouteRule? = byName[name]

    /** Returns the rule with the longest prefix of [path], or null when none matches. */
    fun find(host: String, path: String): RouteRule? = byHost[host]?.firstOrNull { path.startsWith(it.pathPrefix) }
}
