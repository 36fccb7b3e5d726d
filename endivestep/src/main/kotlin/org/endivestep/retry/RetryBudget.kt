package org.endivestep.retry

import org.endivestep.document.RetrySettings

/**
 * Token bucket that limits the retries of one service to a share of the requests to which its workers replied, so
 * that retries cannot amplify an overload. A worker's own refusal is a reply as well: otherwise the budget would be
 * empty when most workers refuse. The bucket starts full: an idle service has a small reserve.
 *
 * A pure state machine. Not thread-safe.
 */
internal class RetryBudget(private var settings: RetrySettings) {
    private var tokens = settings.reserve.toDouble()

    fun configure(settings: RetrySettings) {
        this.settings = settings
        tokens = tokens.coerceAtMost(settings.reserve.toDouble())
    }

    /** Adds the share of a retry that a request earns to which a worker replied; to be called once for each request. */
    fun noteReplied() {
        tokens = (tokens + settings.ratio).coerceAtMost(settings.reserve.toDouble())
    }

    /** Spends one retry; returns false when the budget does not allow it. */
    fun trySpend(): Boolean {
        if (tokens < 1.0) return false
        tokens -= 1.0
        return true
    }
}
