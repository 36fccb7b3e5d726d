package org.endivestep.rollout

import org.endivestep.identity.ServiceName
import org.endivestep.identity.WorkerVersion
import kotlin.math.ceil
import kotlin.math.max

private const val PERCENT = 100.0
private const val MIN_WORKERS = 2

// Below this share the new workers may be cold, and then accept only a part of the usual load.
private const val LOAD_SHARE_PERCENT = 20
private const val COLD_FACTOR = 2

/**
 * Chooses the version of the worker for each attempt of a request, before the load of workers is considered.
 *
 * [draw] returns a random number from 0 until 1. Thread-safe if [draw] is.
 */
internal class VersionChoice(private val table: RolloutTable, private val draw: () -> Double) {
    /**
     * Returns those of [workers] that the next attempt may be sent to. [versionOf] returns the version of a worker and
     * [keyOf] its name, [refused] are the
     * versions that daemons refused for earlier attempts of the same request, because they know a later step than this daemon.
     */
    fun <T> select(
        service: ServiceName,
        workers: List<T>,
        refused: Set<WorkerVersion?>,
        versionOf: (T) -> WorkerVersion?,
        keyOf: (T) -> String,
    ): List<T> {
        val rules = table.rules(service) ?: return withoutRefused(workers, refused, versionOf)
        val entry = rules.rollout?.entry
        val target = if (entry == null) emptyList() else workers.filter { versionOf(it) == entry.order.target }
        val old = workers.filter { versionOf(it) !in rules.excluded && versionOf(it) != entry?.order?.target }
        if (entry == null) return old
        val oldRefused = old.isNotEmpty() && old.all { versionOf(it) in refused }
        return when {
            entry.sharePercent >= FULL_SHARE_PERCENT || oldRefused -> target.ifEmpty { old }
            entry.sharePercent == 0 || entry.order.target in refused -> old
            draw() * PERCENT < entry.sharePercent -> loaded(target, old.size, entry.sharePercent, keyOf).ifEmpty { old }
            else -> old
        }
    }

    // Fewer workers than there are get the share, so that each has about the load that it will have with all requests. All daemons
    // choose the same ones. More than one, so that the state of one VM is not taken for that of the version.
    private fun <T> loaded(target: List<T>, oldCount: Int, sharePercent: Int, keyOf: (T) -> String): List<T> {
        val needed = ceil(oldCount * sharePercent / PERCENT).toInt()
        val count = if (sharePercent < LOAD_SHARE_PERCENT) COLD_FACTOR * needed else needed
        return if (count >= target.size) target else target.sortedBy { spread(keyOf(it)) }.take(max(MIN_WORKERS, count))
    }

    // Mixes the bits, so that workers with similar names do not follow one another.
    private fun spread(key: String): Int = key.hashCode() * -0x61c88647

    private fun <T> withoutRefused(workers: List<T>, refused: Set<WorkerVersion?>, versionOf: (T) -> WorkerVersion?): List<T> =
        if (refused.isEmpty()) workers else workers.filterNot { versionOf(it) in refused }.ifEmpty { workers }
}
