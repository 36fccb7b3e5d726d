package org.endivestep.choice

/** Time in ms that what a worker says of its slowness holds on average before it changes. */
private const val SLOWNESS_LASTS_MS = 150.0

/** Slowness that is assumed after that, as a factor of the usual time. */
private const val TYPICAL_SLOWNESS = 1.3

private const val PERCENT = 100.0

/**
 * Returns the time in ms that work of [usualMs] takes when it begins now at a worker where work takes
 * [slownessPercent] of the usual time at this moment; 0 means that the worker does not say.
 */
internal fun completionMs(usualMs: Double, slownessPercent: Int): Double {
    val slowness = if (slownessPercent <= 0) TYPICAL_SLOWNESS else slownessPercent / PERCENT
    val doneMeanwhileMs = SLOWNESS_LASTS_MS / slowness
    if (usualMs <= doneMeanwhileMs) return usualMs * slowness
    return SLOWNESS_LASTS_MS + (usualMs - doneMeanwhileMs) * TYPICAL_SLOWNESS
}

/** Returns the time in ms until a request with [ahead] others before it is admitted, when one place frees up each [workMs] / [places]. */
internal fun waitMs(ahead: Int, places: Int, workMs: Double): Double = (ahead + 1) * workMs / places.coerceAtLeast(1)
