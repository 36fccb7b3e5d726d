package org.endivestep.ingress

import org.endivestep.exchange.Deadline
import org.endivestep.identity.TeamName
import org.endivestep.outcome.AttemptResult
import org.endivestep.outcome.NotRunReason
import org.endivestep.quota.QuotaAdmission
import org.endivestep.quota.QuotaGate

/** Result of a request, and the time in ms after which its caller may return where its team's quota refused it. */
internal class LimitedResult(val result: AttemptResult, val retryAfterMs: Long? = null)

/** Runs [dispatch] if the quota of [team] allows it. A request without a team is not limited; one that did not run does not count. */
internal fun withinQuota(gate: QuotaGate, team: TeamName?, deadline: Deadline, dispatch: () -> AttemptResult): LimitedResult {
    if (team == null) return LimitedResult(dispatch())
    return when (val admission = gate(team, deadline)) {
        is QuotaAdmission.Refused -> LimitedResult(AttemptResult.NotRun(NotRunReason.QUOTA_EXCEEDED), admission.retryAfterMs)
        is QuotaAdmission.Granted -> LimitedResult(dispatch().also { if (it is AttemptResult.NotRun) admission.giveBack() })
    }
}
