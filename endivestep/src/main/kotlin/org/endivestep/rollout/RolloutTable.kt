package org.endivestep.rollout

import org.endivestep.identity.ServiceName
import org.endivestep.identity.WorkerVersion
import org.endivestep.store.StoreRevision

/** A roll-out with the time in ms of this daemon's clock at which its order was first seen, by the status where that states it. */
internal data class KnownRollout(val entry: RolloutEntry, val firstSeenMs: Long)

/** How the versions of a service may be used; [rollout] is null where only versions are [excluded]. */
internal class VersionRules(val rollout: KnownRollout?, val excluded: Set<WorkerVersion>)

/**
 * The roll-outs that this daemon knows, from the store and from the deciders.
 *
 * An entry of a lower revision than the known one is ignored. The target of a roll-out that was reverted, or replaced before it
 * was complete, stays excluded until [forgetExcluded] is called for it. Thread-safe; reading does not lock.
 */
internal class RolloutTable(private val clockMs: () -> Long, private val timeOfDayMs: () -> Long = System::currentTimeMillis) {
    @Volatile
    private var byService: Map<ServiceName, VersionRules> = emptyMap()
    private val removedAt = HashMap<ServiceName, StoreRevision>()

    /** Whether the roll-outs are known: the store's changes, or a decider's reply that there are none, have been read. */
    @Volatile
    var isKnown = false
        private set

    val services: Map<ServiceName, VersionRules> get() = byService

    /** Returns the rules for [service], or null when nothing is limited. */
    fun rules(service: ServiceName): VersionRules? = byService[service]

    fun rollout(service: ServiceName): KnownRollout? = byService[service]?.rollout

    fun markKnown() {
        isKnown = true
    }

    /**
     * Returns whether [entry] replaces what was known: it is newer, or it is [fromStore] and differs from what another daemon told of
     * the same revision.
     */
    @Synchronized
    fun update(entry: RolloutEntry, fromStore: Boolean): Boolean {
        val service = entry.order.service
        val before = byService[service]
        val known = before?.rollout
        if (known != null && !isNews(known.entry, entry, fromStore)) return false
        val removed = removedAt[service]
        if (removed != null && entry.revision <= removed) return false
        val sameOrder = known != null && known.entry.order == entry.order && !startsAgain(known.entry, entry)
        val excluded = before?.excluded.orEmpty() + listOfNotNull(known?.entry?.unfinishedTarget(entry))
        val rollout = KnownRollout(entry, if (sameOrder) checkNotNull(known).firstSeenMs else clockMs() - ageMs(entry))
        byService = byService + (service to VersionRules(rollout, excluded - entry.order.target))
        return true
    }

    /** Records that the entry of [service] was removed at [revision]. */
    @Synchronized
    fun remove(service: ServiceName, revision: StoreRevision) {
        val before = byService[service] ?: return
        val entry = before.rollout?.entry ?: return
        if (revision < entry.revision) return
        removedAt[service] = revision
        val reverted = entry.order.target.takeIf { entry.status?.state == RolloutState.REVERTED }
        replace(service, VersionRules(null, before.excluded + listOfNotNull(reverted)))
    }

    /** Removes the entries of all services that are not in [listed], a list of the whole collection as of [revision]. */
    @Synchronized
    fun retain(listed: Set<ServiceName>, revision: StoreRevision) {
        byService.keys.filter { it !in listed }.forEach { remove(it, revision) }
    }

    /** Forgets the excluded versions of [service] of which no worker is [present] any more. */
    @Synchronized
    fun forgetExcluded(service: ServiceName, present: Set<WorkerVersion>) {
        val before = byService[service] ?: return
        val kept = before.excluded intersect present
        if (kept.size < before.excluded.size) replace(service, VersionRules(before.rollout, kept))
    }

    /** Returns the time of day at which the order of [service] was first seen. */
    fun orderedAtMs(service: ServiceName): Long {
        val rollout = rollout(service) ?: return timeOfDayMs()
        return timeOfDayMs() - (clockMs() - rollout.firstSeenMs)
    }

    // A daemon that starts during a roll-out learns from the status how old the order is. An age that no running roll-out has shows
    // that the times of day of two VMs differ.
    private fun ageMs(entry: RolloutEntry): Long {
        val orderedAtMs = entry.orderedAtMs ?: return 0
        return (timeOfDayMs() - orderedAtMs).takeIf { it in 0..entry.order.durationMs } ?: 0
    }

    private fun replace(service: ServiceName, rules: VersionRules) {
        byService = if (rules.rollout == null && rules.excluded.isEmpty()) byService - service else byService + (service to rules)
    }

    private fun isNews(before: RolloutEntry, after: RolloutEntry, fromStore: Boolean): Boolean =
        after.revision > before.revision || fromStore && after.revision == before.revision && after != before

    // The operator ordered the same target again: the final status is gone.
    private fun startsAgain(before: RolloutEntry, after: RolloutEntry) = before.isFinal && after.status == null

    private fun RolloutEntry.unfinishedTarget(next: RolloutEntry): WorkerVersion? =
        order.target.takeIf { it != next.order.target && status != null && status.state != RolloutState.COMPLETE }
}
