package org.endivestep.choice

import org.endivestep.identity.KindName
import java.util.concurrent.ConcurrentHashMap

/**
 * Moving averages of the processing time in ms and the answer size for each kind of request, updated
 * from answers.
 *
 * The time follows short samples quickly and long ones slowly, so that it approximates the time at a
 * worker that nothing slows down. Thread-safe.
 */
internal class KindProfiles {
    private val usualMs = ConcurrentHashMap<KindName, Double>()

    fun observed(kind: KindName, elapsedMs: Double) {
        usualMs.merge(kind, elapsedMs) { known, _ -> known + (elapsedMs - known) * weight(known, elapsedMs) }
    }

    private val answerBytes = ConcurrentHashMap<KindName, Double>()

    /** Records that an answer to a request of [kind] had a body of [bytes]. */
    fun answered(kind: KindName, bytes: Long) {
        answerBytes.merge(kind, bytes.toDouble()) { known, _ -> known + (bytes - known) * SIZE_WEIGHT }
    }

    /** Returns the usual length in bytes of the body of an answer, 0 before the first one. */
    fun usualBytes(kind: KindName): Double = answerBytes[kind] ?: 0.0

    /** Returns the usual time of [kind], or [UNKNOWN_MS] before its first answer. */
    fun usualMs(kind: KindName): Double = knownMs(kind) ?: UNKNOWN_MS

    /** Returns the usual time of [kind], or null before its first answer. */
    fun knownMs(kind: KindName): Double? = usualMs[kind]

    private fun weight(known: Double, elapsedMs: Double): Double = if (elapsedMs < known) FALL_WEIGHT else RISE_WEIGHT

    companion object {
        const val UNKNOWN_MS = 100.0
        private const val SIZE_WEIGHT = 0.1
        private const val FALL_WEIGHT = 0.1
        private const val RISE_WEIGHT = 0.03
    }
}
