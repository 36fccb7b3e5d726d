package org.endivestep.exchange

import org.endivestep.outcome.HeaderField
import org.endivestep.outcome.OutcomeHeaders

// Hop-by-hop headers, which are not forwarded (RFC 9110, section 7.6.1).
private val connectionHeaders =
    setOf("connection", "keep-alive", "proxy-connection", "te", "trailer", "transfer-encoding", "upgrade", "expect")

private val ownHeaders =
    listOf(
        OutcomeHeaders.SERVICE,
        OutcomeHeaders.DEADLINE,
        OutcomeHeaders.REQUEST_ID,
        OutcomeHeaders.OUTCOME,
        OutcomeHeaders.REASON,
        OutcomeHeaders.REPLAYED,
    ).map { it.lowercase() }.toSet()

/** Returns the headers to forward to the next hop, without those that each hop sets itself. */
internal fun List<HeaderField>.forwarded(): List<HeaderField> {
    val named = filter { it.name.equals("connection", ignoreCase = true) }
    val listed = named.flatMap { it.value.split(',') }.map { it.trim().lowercase() }
    return filterNot {
        val name = it.name.lowercase()
        name in connectionHeaders || name in ownHeaders || name in listed || name == "content-length"
    }
}
