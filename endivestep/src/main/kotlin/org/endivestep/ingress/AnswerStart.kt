package org.endivestep.ingress

import io.github.oshai.kotlinlogging.KotlinLogging
import org.endivestep.exchange.Deadline
import org.endivestep.exchange.monotonicMs
import org.endivestep.exchange.readWhole
import org.endivestep.outcome.AttemptResult
import org.endivestep.outcome.UnknownReason
import java.io.ByteArrayInputStream
import java.io.IOException
import java.io.InputStream
import java.io.SequenceInputStream

private val logger = KotlinLogging.logger {}

/** Length in bytes of the start of an answer that is awaited before any of it is sent to the caller; a shorter answer is awaited whole. */
private const val AWAITED_BYTES = 65_536

/**
 * Waits for the start of the answer, of which nothing has been sent to the caller yet.
 *
 * An answer that breaks off in its start ends the attempt with an unknown outcome, as one that never began does: another attempt may
 * follow, and if none does, the caller gets a status instead of a connection that is closed without an answer.
 */
internal fun AttemptResult.Answered.awaitStart(deadline: Deadline): AttemptResult {
    var arrived = false
    try {
        val start = readStart()
        arrived = true
        return AttemptResult.Answered(head, start, load)
    } catch (e: IOException) {
        logger.debug { "an answer with status ${head.status} broke off before any of it was sent to the caller: $e" }
        val isOverdue = deadline.remainingMs(monotonicMs()) <= 0
        return AttemptResult.Unknown(if (isOverdue) UnknownReason.TIMEOUT else UnknownReason.ANSWER_TRUNCATED, load)
    } finally {
        if (!arrived) body.close()
    }
}

/** Returns a body whose start has arrived; closes the original body if it was read to its end. */
private fun AttemptResult.Answered.readStart(): InputStream {
    val length = head.contentLength
    // Reading to the stated length needs no further buffer.
    val start = if (length != null && length in 0..AWAITED_BYTES) body.readWhole(length.toInt()) else body.readNBytes(AWAITED_BYTES + 1)
    if (start.size > AWAITED_BYTES) return SequenceInputStream(ByteArrayInputStream(start), body)
    body.close()
    return ByteArrayInputStream(start)
}
