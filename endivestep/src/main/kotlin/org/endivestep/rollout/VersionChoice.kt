package org.endivestep.rollout

import org.endivestep.identity.ServiceName
import org.endivestep.identity.WorkerVersion

private const val PERCENT = 100.0

/**
 * Chooses the version of the worker for each attempt of a request, before the load of workers is considered.
 *
 * [draw] returns a random number from 0 until 1. Thread-safe if [draw] is.
 */
internal class VersionChoice(private val table: RolloutTable, private val draw: () -> Double) {
    /**
     * Returns those of [workers] that the next attempt may be sent to. [versionOf] returns the version of a worker, [refused] are the
     * versions that daemons refused for earlier attempts of the same request, because they know a later step than this daemon.
     */
    fun <T> select(service: ServiceName, workers: List<T>, refused: Set<WorkerVersion?>, versionOf: (T) -> WorkerVersion?): List<T> {
        val rules = table.rules(service) ?: return withoutRefused(workers, refused, versionOf)
        val entry = rules.rollout?.entry
        val target = if (entry == null) emptyList() else workers.filter { versionOf(it) == entry.order.target }
        val old = workers.filter { versionOf(it) !in rules.excluded && versionOf(it) != entry?.order?.target }
        if (entry == null) return old
        val oldRefused = old.isNotEmpty() && old.all { versionOf(it) in refused }
        return when {
            entry.sharePercent >= FULL_SHARE_PERCENT || oldRefused -> target.ifEmpty { old }
            entry.sharePercent == 0 || entry.order.target in refused -> old
            draw() * PERCENT < entry.sharePercent -> target.ifEmpty { old }
            else -> old
        }
    }

    private fun <T> withoutRefused(workers: List<T>, refused: Set<WorkerVersion?>, versionOf: (T) -> WorkerVersion?): List<T> =
        if (refused.isEmpty()) workers else workers.filterNot { versionOf(it) in refused }.ifEmpty { workers }
}
