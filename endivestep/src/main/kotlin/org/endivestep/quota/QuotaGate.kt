package org.endivestep.quota

import org.endivestep.exchange.Deadline
import org.endivestep.identity.TeamName

/** Whether a request is within its team's quota. */
internal sealed interface QuotaAdmission {
    /** The request may run. [giveBack] is to be called when it ends as not run. */
    class Granted(private val onGivenBack: (() -> Unit)?) : QuotaAdmission {
        fun giveBack() {
            onGivenBack?.invoke()
        }
    }

    /** The request must not run; its caller may return after [retryAfterMs]. */
    class Refused(val retryAfterMs: Long) : QuotaAdmission

    companion object {
        /** The admission of a request whose team has no limit. */
        val unlimited = Granted(null)
    }
}

/** Decides whether a request of a team may run. Blocks briefly; throws [InterruptedException] when the caller leaves. */
internal typealias QuotaGate = (TeamName, Deadline) -> QuotaAdmission

/** The gate of a daemon without quotas. */
internal val noQuota: QuotaGate = { _, _ -> QuotaAdmission.unlimited }
