package org.endivestep.membership

/** Intervals and timeouts of the gossip protocol in ms, and its fan-outs. */
internal data class GossipSettings(
    val periodMs: Long = 1_000,
    val ackTimeoutMs: Long = 300,
    val suspicionMs: Long = 4_000,
    val deadRetentionMs: Long = 3_600_000,
    val leftRetentionMs: Long = 600_000,
    val indirectProbes: Int = 3,
    val pushFanout: Int = 3,
    val membersPerMessage: Int = 6,
    val synchronizeIntervalMs: Long = 60_000,
    val mismatchesBeforeSynchronize: Int = 3,
)
