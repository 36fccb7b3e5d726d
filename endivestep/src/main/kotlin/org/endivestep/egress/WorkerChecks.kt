package org.endivestep.egress

import org.endivestep.settings.Address
import java.io.IOException
import java.net.HttpURLConnection
import java.net.InetSocketAddress
import java.net.Socket
import java.net.SocketTimeoutException
import java.net.URI

private const val CONNECT_TIMEOUT_MS = 500
private const val READ_TIMEOUT_MS = 1_000

/** Returns false when connections to [address] are refused; a connect timeout counts as listening, because the worker may be slow. */
internal fun listensAt(address: Address): Boolean =
    try {
        Socket().use { it.connect(InetSocketAddress(address.host, address.port), CONNECT_TIMEOUT_MS) }
        true
    } catch (_: SocketTimeoutException) {
        true
    } catch (_: IOException) {
        false
    }

/** Sends a health request to [worker] at [path]; returns whether anything is listening there. */
internal fun probeOverHttp(worker: LocalWorker, path: String): Boolean {
    val address = worker.announcement.address
    val connection = URI("http://$address$path").toURL().openConnection() as HttpURLConnection
    connection.connectTimeout = CONNECT_TIMEOUT_MS
    connection.readTimeout = READ_TIMEOUT_MS
    return try {
        connection.responseCode
        true
    } catch (_: IOException) {
        listensAt(address)
    } finally {
        connection.disconnect()
    }
}
