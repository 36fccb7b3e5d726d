package org.endivestep.ingress

import org.endivestep.exchange.RequestBody
import org.endivestep.outcome.HeaderField
import java.io.InputStream

/** A request as a caller sent it. [target] is the path with its query. */
internal class CallerRequest(
    val method: String,
    val target: String,
    val headers: List<HeaderField>,
    val body: RequestBody,
    val arrivedMs: Long,
) {
    val path: String get() = target.substringBefore('?')

    /** Returns the value of the first header called [name], in any case, or null. */
    fun header(name: String): String? = headers.firstOrNull { it.name.equals(name, ignoreCase = true) }?.value
}

/**
 * What a caller is told. [body] throws [java.io.IOException] when the answer is cut; [length] is in
 * bytes, null when it is not known beforehand.
 */
internal class CallerReply(val status: Int, val headers: List<HeaderField>, val body: InputStream, val length: Long?)

/** Answers one request of a caller; blocks. An interrupt tells that the caller has gone. */
internal typealias RequestHandler = (CallerRequest) -> CallerReply

internal fun emptyReply(status: Int, headers: List<HeaderField>): CallerReply =
    CallerReply(status, headers, InputStream.nullInputStream(), 0)
