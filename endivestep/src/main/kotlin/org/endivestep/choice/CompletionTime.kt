package org.endivestep.choice

/** Mean time in ms for which a worker's reported slowness holds before it changes. */
private const val SLOWNESS_DURATION_MS = 150.0

/** Slowness that is assumed after [SLOWNESS_DURATION_MS], as a factor of the usual time. */
private const val TYPICAL_SLOWNESS = 1.3

private const val PERCENT = 100.0

/**
 * Returns the time in ms to process a request of [usualMs] that begins now at a worker where processing
 * currently takes [slownessPercent] of the usual time; 0 means that the worker does not report it.
 */
internal fun completionMs(usualMs: Double, slownessPercent: Int): Double {
    val slowness = if (slownessPercent <= 0) TYPICAL_SLOWNESS else slownessPercent / PERCENT
    val doneInDurationMs = SLOWNESS_DURATION_MS / slowness
    if (usualMs <= doneInDurationMs) return usualMs * slowness
    return SLOWNESS_DURATION_MS + (usualMs - doneInDurationMs) * TYPICAL_SLOWNESS
}

/** Returns the time in ms until a request behind [ahead] others is admitted, when a slot becomes free every [workMs] / [slots]. */
internal fun waitMs(ahead: Int, slots: Int, workMs: Double): Double = (ahead + 1) * workMs / slots.coerceAtLeast(1)
