package org.endivestep.daemon

import org.eclipse.jetty.server.Server
import org.endivestep.console.AdminApi
import org.endivestep.console.AnnouncementHandler
import org.endivestep.console.ConsolePages
import org.endivestep.console.SignInRefusals
import org.endivestep.console.operatorAccess
import org.endivestep.console.workerRoutes
import org.endivestep.ingress.callerServer
import org.endivestep.metrics.DaemonMetrics
import org.endivestep.settings.DaemonSettings
import org.http4k.core.Method
import org.http4k.core.Response
import org.http4k.core.Status
import org.http4k.core.then
import org.http4k.routing.bind
import org.http4k.routing.routes

private const val ADMIN_THREADS = 16

/** Components that the endpoints of the admin port use. */
internal class AdminComponents(
    val readiness: Readiness,
    val metrics: DaemonMetrics,
    val api: AdminApi,
    val pages: ConsolePages,
    val refusals: SignInRefusals,
    val announce: AnnouncementHandler,
)

/**
 * Creates the server of the admin port without starting it. Health, readiness, metrics and worker
 * announcements need no sign-in; all other endpoints are for operators.
 */
internal fun adminServer(settings: DaemonSettings, components: AdminComponents): Server {
    val access = operatorAccess(settings.operators, components.refusals::record)
    val handler =
        routes(
            "/health" bind Method.GET to { Response(Status.OK).body("up\n") },
            "/ready" bind Method.GET to { ready(components.readiness) },
            "/metrics" bind Method.GET to { Response(Status.OK).body(components.metrics.scrape()) },
            workerRoutes(components.announce),
            access.then(routes(components.api.routes(), components.pages.routes())),
        )
    return callerServer(settings.host, settings.adminPort, ADMIN_THREADS, handler)
}

private fun ready(readiness: Readiness): Response {
    val blockingReasons = readiness.blockingReasons()
    val lines = blockingReasons + readiness.warnings().map { "warning: $it" }
    val status = if (blockingReasons.isEmpty()) Status.OK else Status.SERVICE_UNAVAILABLE
    return Response(status).body(lines.ifEmpty { listOf("ready") }.joinToString("\n", postfix = "\n"))
}
