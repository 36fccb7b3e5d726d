package org.endivestep.quota

import org.endivestep.identity.TeamName
import org.endivestep.identity.VmName

/** Why a request was refused for its team's quota. */
internal enum class QuotaRefusal(val text: String) {
    /** The team is over its limit. */
    LIMIT("limit"),

    /** No token arrived in time, for example because no owner replies; the fallback allowance, if in use, is used up. */
    NO_OWNER("no-owner"),
}

/** A token of [owner], null for the fallback allowance; it must be used before [expiresMs]. */
internal class Token(val owner: VmName?, val expiresMs: Long)

/** Whether a request may run. */
internal sealed interface QuotaDecision {
    class Granted(val token: Token) : QuotaDecision

    /** [availableMs] is the time in ms until allowance may be available. */
    class Refused(val reason: QuotaRefusal, val availableMs: Long) : QuotaDecision
}

/** A request of [team] that waits for a token since [sinceMs]. [onDecided] is called once, and must not block. */
internal class QuotaTicket(val team: TeamName, val sinceMs: Long, private val onDecided: (QuotaTicket) -> Unit) {
    /** Null while the request waits. */
    @Volatile
    var decision: QuotaDecision? = null
        private set

    fun decide(result: QuotaDecision) {
        if (decision != null) return
        decision = result
        onDecided(this)
    }
}
