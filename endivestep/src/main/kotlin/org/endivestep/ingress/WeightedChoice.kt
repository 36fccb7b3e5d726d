package org.endivestep.ingress

import org.endivestep.document.RouteRule
import org.endivestep.document.WeightedDestination
import org.endivestep.identity.KindName
import org.endivestep.identity.ServiceName
import java.util.concurrent.ConcurrentHashMap
import java.util.random.RandomGenerator

/**
 * Distributes the requests of each route over its services in the proportions of their weights.
 *
 * Each service gains its weight at every request; the one that has gained most is taken and pays the
 * sum of the weights, so that the shares are exact after every full round. A new route starts at a
 * random point, so that daemons do not all begin with the same service. Thread-safe.
 */
internal class WeightedChoice(private val random: RandomGenerator) {
    private class Shares(val destinations: List<WeightedDestination>, val credits: DoubleArray)

    private val shares = ConcurrentHashMap<KindName, Shares>()

    fun choose(rule: RouteRule): ServiceName {
        if (rule.destinations.size == 1) return rule.destinations.single().service
        val current = shares.compute(rule.name) { _, known -> known?.takeIf { it.destinations == rule.destinations } ?: fresh(rule) }
        return synchronized(checkNotNull(current)) { next(current) }
    }

    private fun fresh(rule: RouteRule) =
        Shares(rule.destinations, DoubleArray(rule.destinations.size) { random.nextDouble() * rule.destinations[it].weight })

    private fun next(shares: Shares): ServiceName {
        val credits = shares.credits
        shares.destinations.forEachIndexed { index, destination -> credits[index] += destination.weight.toDouble() }
        val most = credits.indices.filter { shares.destinations[it].weight > 0 }.maxBy { credits[it] }
        credits[most] -= shares.destinations.sumOf { it.weight }.toDouble()
        return shares.destinations[most].service
    }
}
