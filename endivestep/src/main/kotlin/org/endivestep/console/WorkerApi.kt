package org.endivestep.console

import org.endivestep.egress.Announcement
import org.endivestep.identity.ServiceName
import org.endivestep.identity.WorkerIncarnation
import org.endivestep.settings.Address
import org.http4k.core.Method
import org.http4k.core.Request
import org.http4k.core.Response
import org.http4k.core.Status
import org.http4k.routing.RoutingHttpHandler
import org.http4k.routing.bind
import org.http4k.routing.routes
import java.net.InetAddress

private const val MAX_PORT = 65_535

/** Handles an announcement; returns the number of requests that the worker has in flight. */
internal typealias AnnouncementHandler = (Announcement) -> Int

/**
 * Returns the route at which the local worker announces itself:
 * `POST /worker?service=S&port=P&incarnation=I&state=serving|leaving`, over loopback only.
 *
 * The response body is the number of requests in flight; a leaving worker may exit when it is 0.
 */
internal fun workerRoutes(announce: AnnouncementHandler): RoutingHttpHandler =
    routes("/worker" bind Method.POST to { request -> handle(request, announce) })

private fun handle(request: Request, announce: AnnouncementHandler): Response {
    if (!isLoopback(request)) return Response(Status.FORBIDDEN).body("announcements are accepted over loopback only")
    val announcement = announcement(request)
        ?: return Response(Status.BAD_REQUEST).body("service, port, incarnation and state (serving or leaving) are required")
    return Response(Status.OK).body(announce(announcement).toString())
}

private fun isLoopback(request: Request): Boolean {
    val address = request.source?.address ?: return false
    return InetAddress.getByName(address).isLoopbackAddress
}

private fun announcement(request: Request): Announcement? {
    val service = request.query("service")?.takeIf { it.isNotEmpty() } ?: return null
    val port = request.query("port")?.toIntOrNull()?.takeIf { it in 1..MAX_PORT } ?: return null
    val incarnation = request.query("incarnation")?.takeIf { it.isNotEmpty() } ?: return null
    val state = request.query("state")?.takeIf { it == "serving" || it == "leaving" } ?: return null
    return Announcement(ServiceName(service), Address("127.0.0.1", port), WorkerIncarnation(incarnation), state == "leaving")
}
