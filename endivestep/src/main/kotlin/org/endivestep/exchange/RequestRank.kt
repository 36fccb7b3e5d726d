package org.endivestep.exchange

import org.endivestep.identity.TeamName

/**
 * Attributes that determine a request's order among those that wait for the same worker.
 *
 * [priority] 0 is the highest. An answer after [objectiveAtMs] on the monotonic clock is late.
 * [nested] requests were sent by a worker while it runs another request; [repeated] requests were sent
 * again after a refusal. [team] is the team whose caller sent the request, null when there is none.
 */
internal data class RequestRank(
    val priority: Int = 0,
    val objectiveAtMs: Long = NO_OBJECTIVE,
    val nested: Boolean = false,
    val repeated: Boolean = false,
    val team: TeamName? = null,
)

/** Objective that never ends; adding times to it does not overflow. */
internal const val NO_OBJECTIVE = Long.MAX_VALUE / 4
