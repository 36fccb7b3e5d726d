package org.endivestep.daemon

import org.endivestep.document.LimitSettings
import org.endivestep.document.QuarantineSettings
import org.endivestep.document.RetrySettings
import org.endivestep.platform.DocumentDefaults
import org.endivestep.platform.PlatformSettings

private const val QUEUE_LENGTH = 64

// Less than the time after which another daemon treats an attempt without a first frame as lost.
private const val QUEUE_WAIT_MS = 800L
private const val QUARANTINE_MS = 60_000L

// The platform's retry ratio bounds all daemons together. Each daemon uses half of its own part, which leaves room for
// repeated calls.
private const val OWN_RETRY_SHARE = 0.5
private const val RETRY_RESERVE = 2
private const val MAX_ATTEMPTS = 3

/** Limits of a worker before its first heartbeat, which replaces them by its number of slots: one request at a time. */
internal val limitsBeforeHeartbeat =
    LimitSettings(
        cold = 1,
        max = 1,
        idleColdAfterMs = 0,
        latencyTolerance = Double.MAX_VALUE,
        queueLength = QUEUE_LENGTH,
        queueWaitMs = QUEUE_WAIT_MS,
    )

/** Quarantine settings for requests that crash workers. */
internal val quarantineSettings = QuarantineSettings(deaths = 2, durationMs = QUARANTINE_MS)

/** Returns the defaults for what the operator's configuration leaves to the platform or to the daemon. */
internal fun documentDefaults(settings: PlatformSettings) =
    DocumentDefaults(
        settings.dataCentres,
        limitsBeforeHeartbeat,
        RetrySettings(settings.bounds.retryRatio * OWN_RETRY_SHARE, RETRY_RESERVE, MAX_ATTEMPTS),
    )
