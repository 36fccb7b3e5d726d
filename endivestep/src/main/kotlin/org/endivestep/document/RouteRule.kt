package org.endivestep.document

import org.endivestep.identity.KindName
import org.endivestep.identity.ServiceName

/**
 * Requests of one host below one path, and what may be done with them. Durations are in ms.
 *
 * An answer within [objectiveMs] is in time; a request without an answer after [timeoutMs] is given
 * up. [priority] 0 is the highest. One request is sent to at most [maxAttempts] workers.
 */
internal data class RouteRule(
    val name: KindName,
    val host: String,
    val pathPrefix: String,
    val destinations: List<WeightedDestination>,
    val idempotent: Boolean,
    val objectiveMs: Long,
    val timeoutMs: Long,
    val maxAttempts: Int,
    val priority: Int,
) {
    init {
        require(destinations.isNotEmpty()) { "route ${name.text} has no destination" }
    }
}

/** A service that gets [weight] parts of a route's requests. */
internal data class WeightedDestination(val service: ServiceName, val weight: Int)

/** Rules by host and path prefix. */
internal class RouteTable(val rules: List<RouteRule>) {
    private val byHost = rules.groupBy { it.host }.mapValues { (_, ofHost) -> ofHost.sortedByDescending { it.pathPrefix.length } }

    /** Returns the rule with the longest prefix that begins [path], or null when none matches. */
    fun find(host: String, path: String): RouteRule? = byHost[host]?.firstOrNull { path.startsWith(it.pathPrefix) }
}
