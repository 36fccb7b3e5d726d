package org.endivestep.daemon

import org.endivestep.admission.AdmissionQueue
import org.endivestep.metrics.DaemonMetrics
import org.endivestep.platform.PlatformBounds
import org.endivestep.protocol.LoadNotices
import org.endivestep.quota.QuotaService

/**
 * The duties, apart from gossip, for which a daemon on the platform exchanges datagrams with its peers. [rollouts] and [freshness]
 * are null where the limits of the platform do not ask for them.
 */
internal class DatagramDuties(
    private val admission: AdmissionQueue,
    private val notices: LoadNotices,
    private val rollouts: RolloutDuties?,
    private val freshness: FreshnessDuties?,
    val quotas: QuotaService,
) {
    /** Starts the duties and registers their gauges; that of [quotas] starts only when [bounds] or the configuration ask for it. */
    fun start(bounds: PlatformBounds, metrics: DaemonMetrics) {
        admission.onLoad = notices::onLoadChanged
        notices.start()
        rollouts?.start()
        rollouts?.registerGauges(metrics)
        freshness?.registerGauges(metrics)
        freshness?.start()
        quotas.startIfNeeded(always = bounds.quota != null)
        registerQuotaGauges(metrics, quotas)
    }

    /** Whether the keys of the configuration may be accepted now. */
    fun keysAreCurrent(): Boolean = freshness?.isFresh() ?: true

    /** Reads the roll-outs in the store again. */
    fun refreshRollouts() {
        rollouts?.refresh()
    }
}
