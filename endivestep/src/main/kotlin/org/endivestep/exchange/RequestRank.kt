package org.endivestep.exchange

/**
 * Order of a request among those that wait for the same worker.
 *
 * [priority] 0 is the highest. An answer after [objectiveAtMs] on the monotonic clock is late.
 * [nested] requests were sent by a worker that runs another request; [repeated] ones came back after
 * a refusal.
 */
internal data class RequestRank(
    val priority: Int = 0,
    val objectiveAtMs: Long = NO_OBJECTIVE,
    val nested: Boolean = false,
    val repeated: Boolean = false,
)

/** Far enough ahead to be no bound, and safe to add times to. */
internal const val NO_OBJECTIVE = Long.MAX_VALUE / 4
