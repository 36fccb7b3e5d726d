package org.endivestep.rollout

import org.endivestep.identity.ServiceName
import org.endivestep.identity.WorkerVersion
import org.endivestep.store.StoreRevision

/** An operator's order that the traffic of [service] move to workers of version [target] within [durationMs]. */
internal data class RolloutOrder(val service: ServiceName, val target: WorkerVersion, val durationMs: Long)

/** State of a roll-out; [COMPLETE] and [REVERTED] are final. */
internal enum class RolloutState { RUNNING, COMPLETE, REVERTED }

/** Status of a roll-out to [target], which receives [sharePercent] of the requests while the state is running. */
internal data class RolloutStatus(val state: RolloutState, val target: WorkerVersion, val sharePercent: Int)

/**
 * A roll-out as the store has it at [revision]; [status] is null until the first step is written. [orderedAtMs] is the time of day at
 * which the daemon that wrote the status first saw the order, null when it is not known.
 */
internal data class RolloutEntry(
    val order: RolloutOrder,
    val status: RolloutStatus?,
    val revision: StoreRevision,
    val orderedAtMs: Long? = null,
) {
    /** The share of requests that the target version receives, in percent. */
    val sharePercent: Int
        get() =
            when (status?.state) {
                RolloutState.COMPLETE -> FULL_SHARE_PERCENT
                RolloutState.RUNNING -> status.sharePercent
                RolloutState.REVERTED, null -> 0
            }

    val isFinal: Boolean get() = status != null && status.state != RolloutState.RUNNING
}

internal const val FULL_SHARE_PERCENT = 100

/** Duration in ms of an order of which only another daemon told. */
internal const val DEFAULT_ROLLOUT_MS = 12_000L
