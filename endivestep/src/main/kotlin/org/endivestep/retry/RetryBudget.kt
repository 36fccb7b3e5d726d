package org.endivestep.retry

import org.endivestep.document.RetrySettings

/**
 * Token bucket that limits the retries of one service to a share of its answered requests, so that
 * retries cannot amplify an overload. The bucket starts full: an idle service has a small reserve.
 *
 * A pure state machine. Not thread-safe.
 */
internal class RetryBudget(private var settings: RetrySettings) {
    private var tokens = settings.reserve.toDouble()

    fun configure(settings: RetrySettings) {
        this.settings = settings
        tokens = tokens.coerceAtMost(settings.reserve.toDouble())
    }

    /** Adds the share of a retry that an answered request earns. */
    fun noteAnswered() {
        tokens = (tokens + settings.ratio).coerceAtMost(settings.reserve.toDouble())
    }

    /** Spends one retry; returns false when the budget does not allow it. */
    fun trySpend(): Boolean {
        if (tokens < 1.0) return false
        tokens -= 1.0
        return true
    }
}
