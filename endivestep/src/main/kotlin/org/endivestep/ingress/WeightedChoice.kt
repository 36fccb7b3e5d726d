package org.endivestep.ingress

import org.endivestep.document.RouteRule
import org.endivestep.document.WeightedDestination
import org.endivestep.identity.KindName
import org.endivestep.identity.ServiceName
import java.util.concurrent.ConcurrentHashMap
import java.util.random.RandomGenerator

/**
 * Distributes the requests of each route over its services in proportion to their weights, by smooth
 * weighted round-robin.
 *
 * At every request each service's credit grows by its weight; the service with the highest credit is
 * chosen and its credit is reduced by the sum of the weights, so that the shares are exact after every
 * full round. A new route starts with random credits, so that daemons do not all choose the same service
 * first. Thread-safe.
 */
internal class WeightedChoice(private val random: RandomGenerator) {
    private class Shares(val destinations: List<WeightedDestination>, val credits: DoubleArray)

    private val shares = ConcurrentHashMap<KindName, Shares>()

    fun choose(rule: RouteRule): ServiceName {
        if (rule.destinations.size == 1) return rule.destinations.single().service
        val current = shares.compute(rule.name) { _, old -> old?.takeIf { it.destinations == rule.destinations } ?: newShares(rule) }
        return synchronized(checkNotNull(current)) { next(current) }
    }

    private fun newShares(rule: RouteRule) =
        Shares(rule.destinations, DoubleArray(rule.destinations.size) { random.nextDouble() * rule.destinations[it].weight })

    private fun next(shares: Shares): ServiceName {
        val credits = shares.credits
        shares.destinations.forEachIndexed { index, destination -> credits[index] += destination.weight.toDouble() }
        val chosen = credits.indices.filter { shares.destinations[it].weight > 0 }.maxBy { credits[it] }
        credits[chosen] -= shares.destinations.sumOf { it.weight }.toDouble()
        return shares.destinations[chosen].service
    }
}
