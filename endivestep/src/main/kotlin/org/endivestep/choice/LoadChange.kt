package org.endivestep.choice

import org.endivestep.outcome.Load
import kotlin.math.abs

private const val SLOWNESS_RATIO = 1.5

/** Whether [now] differs from the [reported] load in its limit, by at least [share] of the limit, or by [SLOWNESS_RATIO] in slowness. */
internal fun isSignificantChange(reported: Load, now: Load, share: Double): Boolean {
    if (reported.limit != now.limit) return true
    if (isSlownessChange(reported.slownessPercent, now.slownessPercent)) return true
    val change = abs((reported.inFlight + reported.waiting) - (now.inFlight + now.waiting))
    return change > 0 && change >= share * now.limit
}

private fun isSlownessChange(reported: Int, now: Int): Boolean {
    val low = minOf(reported, now).coerceAtLeast(1)
    return maxOf(reported, now) >= low * SLOWNESS_RATIO
}
