package org.endivestep.commands

import org.http4k.client.JavaHttpClient
import org.http4k.core.Method
import org.http4k.core.Request
import org.http4k.core.Response
import org.http4k.core.Status
import java.util.Base64

/** Result of a call to the admin port of a daemon. */
internal sealed interface AdminResult {
    class Received(val response: Response) : AdminResult

    data class Failed(val code: ExitCode, val message: String) : AdminResult
}

/** HTTP client of one daemon's admin port, signed in as an operator. Calls block. */
internal class AdminClient(private val server: String, private val user: String, private val password: String) {
    private val http = JavaHttpClient()

    fun get(path: String): AdminResult = send(Request(Method.GET, server + path))

    fun post(path: String, body: String): AdminResult = send(Request(Method.POST, server + path).body(body))

    private fun send(request: Request): AdminResult {
        val credentials = Base64.getEncoder().encodeToString("$user:$password".toByteArray())
        val response = http(request.header("Authorization", "Basic $credentials"))
        return when (response.status) {
            Status.CONNECTION_REFUSED, Status.CLIENT_TIMEOUT, Status.UNKNOWN_HOST ->
                AdminResult.Failed(ExitCode.UNREACHABLE, "no daemon answers at $server")
            Status.UNAUTHORIZED -> AdminResult.Failed(ExitCode.UNAUTHORIZED, "sign-in as \"$user\" was refused")
            else -> AdminResult.Received(response)
        }
    }
}
