package org.endivestep.choice

import org.endivestep.outcome.Load
import kotlin.math.abs

private const val SLOWNESS_RATIO = 1.5

/** Whether [now] differs from what was [told] by at least [share] of the worker's places, or its slowness by half. */
internal fun isWorthTelling(told: Load, now: Load, share: Double): Boolean {
    if (told.limit != now.limit) return true
    if (differsMuch(told.slownessPercent, now.slownessPercent)) return true
    val change = abs((told.inFlight + told.waiting) - (now.inFlight + now.waiting))
    return change > 0 && change >= share * now.limit
}

private fun differsMuch(told: Int, now: Int): Boolean {
    val low = minOf(told, now).coerceAtLeast(1)
    return maxOf(told, now) >= low * SLOWNESS_RATIO
}
