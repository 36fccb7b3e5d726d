package org.endivestep.rollout

import org.endivestep.identity.ServiceName
import org.endivestep.identity.WorkerVersion

/** Whether the worker of a service may be sent requests now; its version is null while it is not known, see [unstatedVersion]. */
internal typealias VersionPermission = (ServiceName, WorkerVersion?) -> Boolean

/** Permits every version. */
internal val everyVersionPermitted: VersionPermission = { _, _ -> true }

/** Version of a worker whose heartbeats state none. */
internal val unstatedVersion = WorkerVersion("")

/** Maximum age in ms of the confirmation that a worker of the target version needs while its roll-out is running. */
internal const val CONFIRMATION_VALID_MS = 2_000L

/** What a decider replied about a roll-out to evidence that was sent at [askedMs]. */
internal data class Confirmation(val entry: RolloutEntry, val askedMs: Long)

/**
 * Decides whether the worker beside this daemon may run requests, given the roll-out of its service.
 *
 * A worker of the target version needs a running roll-out with a share above 0 that a decider confirmed within
 * [CONFIRMATION_VALID_MS], or a complete one. A worker of another version is refused once the share is 100. A decider that found
 * the target version faulty confirms a share of 0 before the store has taken the status; for that time both rules follow it.
 * Thread-safe.
 */
internal class VersionGate(private val table: RolloutTable, private val clockMs: () -> Long) {
    @Volatile
    private var latest: Confirmation? = null

    @Volatile
    private var halted: Confirmation? = null

    /** Records a decider's reply. A reply that is older than what this daemon knows confirms nothing. */
    fun confirm(confirmation: Confirmation) {
        val known = table.rollout(confirmation.entry.order.service)?.entry
        if (known != null && confirmation.entry.revision < known.revision) return
        if (isHalt(confirmation.entry, known)) halted = confirmation else latest = confirmation
    }

    /**
     * Whether a worker of [version] may run requests. Until the roll-outs are known, only [unstatedVersion] may; where a service has
     * rules, an unknown version may not.
     */
    fun permits(service: ServiceName, version: WorkerVersion?): Boolean {
        if (!table.isKnown) return version == unstatedVersion
        val rules = table.rules(service) ?: return true
        if (version == null) return false
        val entry = rules.rollout?.entry
        return when {
            entry != null && version == entry.order.target -> permitsTarget(entry)
            version in rules.excluded -> false
            entry == null -> true
            else -> entry.sharePercent < FULL_SHARE_PERCENT || applies(halted, entry)
        }
    }

    private fun permitsTarget(entry: RolloutEntry): Boolean =
        when (entry.status?.state) {
            RolloutState.COMPLETE -> true
            RolloutState.RUNNING -> entry.sharePercent > 0 && isConfirmed(entry) && !applies(halted, entry)
            RolloutState.REVERTED, null -> false
        }

    private fun isConfirmed(entry: RolloutEntry): Boolean {
        val confirmation = latest
        return confirmation != null && confirmation.entry.sharePercent > 0 && applies(confirmation, entry)
    }

    private fun isHalt(replied: RolloutEntry, known: RolloutEntry?): Boolean =
        replied.sharePercent == 0 && known != null && known.revision == replied.revision && known.sharePercent > 0

    private fun applies(confirmation: Confirmation?, entry: RolloutEntry): Boolean =
        confirmation != null &&
            confirmation.entry.order.service == entry.order.service &&
            confirmation.entry.order.target == entry.order.target &&
            clockMs() - confirmation.askedMs < CONFIRMATION_VALID_MS
}
