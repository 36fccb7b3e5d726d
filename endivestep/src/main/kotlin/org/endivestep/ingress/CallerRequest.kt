package org.endivestep.ingress

import org.endivestep.exchange.CallerLease
import org.endivestep.exchange.Cancellation
import org.endivestep.exchange.RequestBody
import org.endivestep.outcome.HeaderField
import java.io.InputStream

/** A request as received from a caller. [target] is the path including the query. */
internal class CallerRequest(
    val method: String,
    val target: String,
    val headers: List<HeaderField>,
    val body: RequestBody,
    /** When the request was read, on the clock of [org.endivestep.exchange.monotonicMs]. */
    val arrivedMs: Long,
    /** Longest time in ms that the request may have waited in the socket before it was read. */
    val readDelayMs: Long = 0,
    /** Tells whether the caller still waits for the answer. */
    val cancellation: Cancellation = Cancellation(),
    val lease: CallerLease = CallerLease.unlimited(),
) {
    val path: String get() = target.substringBefore('?')

    /**
     * Estimates when the caller sent the request, for whose answer it waits for [deadlineMs].
     *
     * The request waited in the socket for at most [readDelayMs], and for less than its deadline, because the caller was
     * still there when it was read. The middle of that time is taken.
     */
    fun sentMs(deadlineMs: Long): Long = arrivedMs - minOf(readDelayMs, deadlineMs) / 2

    /** Returns the value of the first header called [name], ignoring case, or null. */
    fun header(name: String): String? = headers.firstOrNull { it.name.equals(name, ignoreCase = true) }?.value
}

/**
 * Response to a caller. Reading [body] throws [java.io.IOException] when the response is truncated;
 * [length] is in bytes, null when it is not known in advance.
 */
internal class CallerReply(val status: Int, val headers: List<HeaderField>, val body: InputStream, val length: Long?)

/** Handles one caller request; blocks. The thread is interrupted when the caller disconnects. */
internal typealias RequestHandler = (CallerRequest) -> CallerReply

internal fun emptyReply(status: Int, headers: List<HeaderField>): CallerReply =
    CallerReply(status, headers, InputStream.nullInputStream(), 0)
