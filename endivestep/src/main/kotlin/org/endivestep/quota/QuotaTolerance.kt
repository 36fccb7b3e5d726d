package org.endivestep.quota

import org.endivestep.document.TeamQuota

private const val MS_PER_SECOND = 1_000.0

/**
 * How far the requests of a team may exceed its quota: in each span of [windowMs] by the share [overshoot] and [slack] requests.
 *
 * The share [overshoot] covers tokens that were granted up to [TOKEN_VALIDITY_MS] before the span. The slack covers the [headroom] of
 * the owners' buckets and for the fallback allowances of daemons that reach no owner.
 */
internal data class QuotaTolerance(val windowMs: Long = 5_000, val overshoot: Double = 0.1, val slack: Int = 20) {
    /** Tokens that the bucket of each owner holds beyond its share of the burst, so that a token is not lost while nobody asks for it. */
    val headroom: Double get() = minOf(MAX_HEADROOM, slack / SLACK_PARTS)

    /** Whether tokens that were granted before a span fit into the share [overshoot] of it. */
    val coversTokens: Boolean get() = overshoot * windowMs >= TOKEN_VALIDITY_MS

    /** Returns the requests per second that all daemons together may run without an owner's tokens. */
    fun fallbackPerSecond(quota: TeamQuota): Double {
        val spare = quota.burst * overshoot + slack - headroom * OWNERS_PER_TEAM
        // At most half of the daemons can be without an owner while the others are granted tokens, so they use half of this at most.
        return minOf(quota.ratePerSecond * FALLBACK_SHARE, spare.coerceAtLeast(0.0) / (windowMs / MS_PER_SECOND))
    }

    private companion object {
        const val MAX_HEADROOM = 2.0
        const val SLACK_PARTS = 8.0
        const val FALLBACK_SHARE = 0.25
    }
}

/** Time in ms from the request for a token until the token expires. */
internal const val TOKEN_VALIDITY_MS = 500L

/** Number of daemons that grant tokens of one team. */
internal const val OWNERS_PER_TEAM = 2
