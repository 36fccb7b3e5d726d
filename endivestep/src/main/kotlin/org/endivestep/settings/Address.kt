package org.endivestep.settings

private val ports = 1..65_535
private val hostPattern = Regex("""[\w.:-]+""")
private val ipPattern = Regex("""(\d{1,3}\.){3}\d{1,3}|[0-9a-fA-F:]*:[0-9a-fA-F:.]*""")

/** Address of a process: a host, usually an IP address, and a TCP or UDP port. */
internal data class Address(val host: String, val port: Int) {
    override fun toString(): String = "$host:$port"
}

/** Returns the address that [text] states as a host and a port, or null. */
internal fun parseAddress(text: String): Address? {
    val host = text.substringBeforeLast(':')
    val port = text.substringAfterLast(':', "").toIntOrNull()
    if (port == null || port !in ports || !hostPattern.matches(host)) return null
    return Address(host, port)
}

internal fun isIpAddress(text: String): Boolean = ipPattern.matches(text)
