package org.endivestep.protocol

import org.endivestep.exchange.Deadline
import org.endivestep.exchange.monotonicMs

/** Time in ms without progress after which a body transfer fails. */
private const val BODY_IDLE_TIMEOUT_MS = 30_000L

/** Time in ms after a request's deadline for which what is on its way is still awaited. */
private const val DEADLINE_GRACE_MS = 100L

/**
 * Returns the time in ms from now for which an answer to a request with [deadline], and each part of it, is awaited. The worker may
 * be silent until then, and so may it leave the rest of an upload unread.
 */
internal fun answerWaitMs(deadline: Deadline): Long = deadline.remainingMs(monotonicMs()) + DEADLINE_GRACE_MS

/**
 * Returns the time in ms from now for which the daemon beside the worker waits for the next step of a body transfer of a request with
 * [deadline]. The daemon that took the request may stand still.
 */
internal fun transferWaitMs(deadline: Deadline): Long = answerWaitMs(deadline).coerceIn(0, BODY_IDLE_TIMEOUT_MS)
