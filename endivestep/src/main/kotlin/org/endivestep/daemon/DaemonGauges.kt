package org.endivestep.daemon

import org.endivestep.admission.AdmissionQueue
import org.endivestep.claim.ClaimTaskExecutor
import org.endivestep.configuration.ConfigurationAdoption
import org.endivestep.egress.CrashDetector
import org.endivestep.membership.Gossip
import org.endivestep.membership.MemberState
import org.endivestep.metrics.DaemonMetrics
import org.endivestep.quota.QuotaService

/** Registers the gauges of a daemon. */
internal fun registerGauges(
    metrics: DaemonMetrics,
    gossip: Gossip,
    admission: AdmissionQueue,
    adoption: ConfigurationAdoption,
    claimTasks: ClaimTaskExecutor,
) {
    registerCommonGauges(metrics, gossip, admission, adoption)
    metrics.gauge("endivestep.gossip.sent.bytes", "Bytes of gossip sent") { gossip.sentBytes.get() }
    metrics.gauge("endivestep.gossip.sent.messages", "Gossip datagrams sent") { gossip.sentMessages.get() }
    metrics.gauge("endivestep.gossip.refused", "Gossip datagrams refused") { gossip.refused.get() }
    metrics.gauge("endivestep.gossip.dropped", "Gossip events lost in this daemon") { gossip.dropped.get() }
    metrics.gauge("endivestep.claims.backlog", "Claim records still to be written") { claimTasks.backlog }
}

/** Registers the gauges of a daemon on the platform. */
internal fun registerPlatformGauges(
    metrics: DaemonMetrics,
    gossip: Gossip,
    admission: AdmissionQueue,
    adoption: ConfigurationAdoption,
    crashes: CrashDetector,
    store: StoreDuties,
) {
    registerCommonGauges(metrics, gossip, admission, adoption)
    metrics.gauge("endivestep.worker.waiting", "Requests that wait for the worker") { admission.load.waiting }
    metrics.gauge("endivestep.quarantined", "Requests in quarantine") { crashes.quarantinedCount }
    metrics.gauge("endivestep.store.connected", "1 while the store answers") { if (store.isConnected) 1 else 0 }
}

/** Registers the gauges of the quotas of teams. */
internal fun registerQuotaGauges(metrics: DaemonMetrics, quotas: QuotaService) {
    metrics.gauge("endivestep.quota.owned", "Teams whose tokens this daemon grants at present") { quotas.ownedCount }
    metrics.gauge("endivestep.quota.heard", "Daemons heard from within 3 s") { quotas.heardCount }
    metrics.gauge("endivestep.quota.fallbacks", "Teams whose requests use the fallback allowance") { quotas.fallbackCount }
    metrics.gauge("endivestep.quota.expired", "Tokens that expired unused") { quotas.expiredTokens }
    metrics.gauge("endivestep.quota.dropped", "Quota datagrams refused or not sent") { quotas.dropped.get() }
}

private fun registerCommonGauges(metrics: DaemonMetrics, gossip: Gossip, admission: AdmissionQueue, adoption: ConfigurationAdoption) {
    metrics.gauge("endivestep.configuration.version", "Version of the configuration in force") { adoption.version.number }
    metrics.gauge("endivestep.members.alive", "Daemons thought to be alive") {
        gossip.members.count { it.state == MemberState.ALIVE }
    }
    metrics.gauge("endivestep.worker.in.flight", "Requests that the worker has") { admission.load.inFlight }
    metrics.gauge("endivestep.worker.limit", "Requests that the worker may have") { admission.load.limit }
}
