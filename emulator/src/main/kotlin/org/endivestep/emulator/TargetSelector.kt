package org.endivestep.emulator

import java.io.IOException
import java.net.URI
import java.util.SplittableRandom
import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.atomic.AtomicInteger

/** Selects the target of the next request. */
internal typealias TargetSelector = (SplittableRandom) -> String

/** Baseline load-balancing policies, for comparison with the daemons; only [TWO_CHOICES] uses the load of the targets. */
internal enum class TargetPolicy(val text: String) {
    RANDOM("random"),
    ROUND_ROBIN("round-robin"),
    TWO_CHOICES("two-choices"),
}

internal fun targetSelector(policy: TargetPolicy, targets: List<String>, pollMs: Long): TargetSelector =
    when (policy) {
        TargetPolicy.RANDOM -> { random -> targets[random.nextInt(targets.size)] }
        TargetPolicy.ROUND_ROBIN -> roundRobin(targets)
        TargetPolicy.TWO_CHOICES -> twoChoices(targets, pollLoads(targets, pollMs))
    }

private fun roundRobin(targets: List<String>): TargetSelector {
    val next = AtomicInteger()
    return { targets[Math.floorMod(next.getAndIncrement(), targets.size)] }
}

private fun twoChoices(targets: List<String>, load: (String) -> Int): TargetSelector =
    { random ->
        val first = targets[random.nextInt(targets.size)]
        val second = targets[random.nextInt(targets.size)]
        if (load(second) < load(first)) second else first
    }

/** Polls the load of each target; between two polls the returned values are stale. */
private fun pollLoads(targets: List<String>, pollMs: Long): (String) -> Int {
    val loads = ConcurrentHashMap<String, Int>()
    val poller =
        Thread {
            while (true) {
                targets.forEach { target -> readLoad(target)?.let { loads[target] = it } }
                Thread.sleep(pollMs)
            }
        }
    poller.isDaemon = true
    poller.start()
    return { target -> loads[target] ?: 0 }
}

private fun readLoad(target: String): Int? =
    try {
        URI("http://$target/load").toURL().readText().trim().toIntOrNull()
    } catch (_: IOException) {
        null
    }
