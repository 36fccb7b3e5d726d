package org.endivestep.protocol

import io.github.oshai.kotlinlogging.KotlinLogging
import org.endivestep.exchange.AttemptRequest
import org.endivestep.exchange.monotonicMs
import org.endivestep.metrics.LogEntry
import org.endivestep.metrics.RateLimitedLog

private val logger = KotlinLogging.logger {}

/** Side that ended an attempt at another daemon. */
internal enum class EndedBy(val text: String) {
    THIS_DAEMON("this daemon"),
    CONNECTION("the connection"),
    OTHER_DAEMON("the other daemon"),
}

/**
 * Writes a line for each attempt at another daemon that ended without an answer on its stream: which side ended it, and what this
 * daemon had heard of it by then. Times in the lines are in ms since the attempt was begun. Rate-limited.
 */
internal class ExchangeLog {
    private val log = RateLimitedLog(logger, LINES_PER_SECOND, ::monotonicMs)

    fun write(request: AttemptRequest, peer: Peer, progress: AttemptProgress, endedBy: EndedBy, cause: String) =
        log.write { LogEntry("an attempt ended without an answer", fields(request, peer, progress, endedBy, cause)) }

    private fun fields(
        request: AttemptRequest,
        peer: Peer,
        progress: AttemptProgress,
        endedBy: EndedBy,
        cause: String,
    ): Map<String, Any> =
        buildMap {
            put("request", request.requestId.text)
            put("attempt", request.attemptId.text)
            put("daemon", "${peer.address}/${peer.incarnation.text}")
            put("endedBy", endedBy.text)
            put("cause", cause)
            progress.admittedMs?.let { put("admittedMs", it - progress.beganMs) }
            progress.askedMs?.let { put("askedMs", it - progress.beganMs) }
            progress.toldMs?.let { put("toldMs", it - progress.beganMs) }
            progress.told?.let { put("told", it.name) }
            put("elapsedMs", monotonicMs() - progress.beganMs)
            put("remainingMs", request.deadline.remainingMs(monotonicMs()))
        }

    private companion object {
        const val LINES_PER_SECOND = 50
    }
}
