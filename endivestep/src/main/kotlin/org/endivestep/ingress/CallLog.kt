package org.endivestep.ingress

import io.github.oshai.kotlinlogging.KotlinLogging
import org.endivestep.exchange.monotonicMs
import org.endivestep.metrics.FinalOutcome
import org.endivestep.metrics.LogEntry
import org.endivestep.metrics.RateLimitedLog

private val logger = KotlinLogging.logger {}

/** Writes a log line, with all attempts, for each call that was not answered by its first attempt. Rate-limited. */
internal class CallLog {
    private val log = RateLimitedLog(logger, LINES_PER_SECOND, ::monotonicMs)

    fun write(call: IncomingCall, outcome: FinalOutcome, reason: String) {
        if (outcome == FinalOutcome.ANSWERED && call.trace.size <= 1) return
        log.write {
            val fields =
                mapOf(
                    "request" to call.id.text,
                    "service" to call.service.name.text,
                    "kind" to call.kind.name.text,
                    "reason" to reason,
                    "elapsedMs" to monotonicMs() - call.startMs,
                    "attempts" to call.trace,
                )
            LogEntry("call ${outcome.text}", fields)
        }
    }

    private companion object {
        const val LINES_PER_SECOND = 50
    }
}
