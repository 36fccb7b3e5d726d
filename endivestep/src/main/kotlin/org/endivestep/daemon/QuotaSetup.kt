package org.endivestep.daemon

import io.micrometer.core.instrument.MeterRegistry
import org.endivestep.document.Document
import org.endivestep.membership.Gossip
import org.endivestep.platform.PlatformSettings
import org.endivestep.protocol.PeerAuthentication
import org.endivestep.protocol.QuotaCodec
import org.endivestep.quota.QuotaMetrics
import org.endivestep.quota.QuotaService
import org.endivestep.quota.QuotaTolerance

/** Returns what enforces the quotas of teams with the tolerance that the platform states in [settings]. */
internal fun quotaService(
    settings: PlatformSettings,
    security: PeerAuthentication,
    gossip: Gossip,
    document: () -> Document?,
    registry: MeterRegistry,
): QuotaService =
    QuotaService(
        settings.inner,
        QuotaCodec(security),
        { gossip.self },
        { gossip.members },
        document,
        settings.bounds.quota?.let { QuotaTolerance(it.windowMs, it.overshoot, it.slack) } ?: QuotaTolerance(),
        QuotaMetrics(registry),
    )
