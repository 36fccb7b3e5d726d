package org.endivestep.quarantine

import io.github.oshai.kotlinlogging.KotlinLogging
import org.endivestep.exchange.monotonicMs
import org.endivestep.metrics.LogEntry
import org.endivestep.metrics.RateLimitedLog

private val logger = KotlinLogging.logger {}
private const val LINES_PER_SECOND = 20

/** Returns a listener that writes one log line for each change of a suspicion, at most [LINES_PER_SECOND]. */
internal fun suspicionLog(): (SuspicionChange) -> Unit {
    val log = RateLimitedLog(logger, LINES_PER_SECOND, ::monotonicMs)
    return { change ->
        log.write {
            val fields =
                mapOf(
                    "fingerprint" to change.fingerprint.text,
                    "cause" to change.cause.text,
                    "deaths" to change.deaths.map { it.text },
                )
            LogEntry("suspicion of a request changed", fields)
        }
    }
}
