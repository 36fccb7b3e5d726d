package org.endivestep.console

import org.endivestep.configuration.Change
import org.endivestep.configuration.ConfigurationAdoption
import org.endivestep.configuration.ConfigurationSubmission
import org.endivestep.configuration.Overrides
import org.endivestep.configuration.SubmissionResult
import org.endivestep.document.DataCentreState
import org.endivestep.identity.ConfigurationVersion
import org.endivestep.identity.DataCentreName
import org.endivestep.membership.MemberInfo
import org.endivestep.store.ObjectStore
import org.http4k.core.Method
import org.http4k.core.Request
import org.http4k.core.Response
import org.http4k.core.Status
import org.http4k.routing.RoutingHttpHandler
import org.http4k.routing.bind
import org.http4k.routing.routes

/** Response header with the version of the configuration. */
internal const val VERSION_HEADER = "Endivestep-Version"

private const val DEFAULT_AUDIT_ENTRIES = 50
private const val IN_FORCE_TIMEOUT_MS = 3_000L
private const val IN_FORCE_POLL_INTERVAL_MS = 100L

/** HTTP API for operators' scripts and the command line client. */
internal class AdminApi(
    private val adoption: ConfigurationAdoption,
    private val submission: ConfigurationSubmission,
    private val store: ObjectStore,
    private val fleet: FleetStatus,
    private val overrides: Overrides,
    private val members: () -> List<MemberInfo>,
) {
    fun routes(): RoutingHttpHandler =
        routes(
            "/api/configuration" bind Method.GET to { configuration() },
            "/api/configuration" bind Method.POST to ::submit,
            "/api/changes" bind Method.POST to ::check,
            "/api/in-force" bind Method.GET to ::inForce,
            "/api/overrides" bind Method.GET to { json(Status.OK, overridesJson(overrides.entries).toString()) },
            "/api/overrides" bind Method.POST to ::override,
            "/api/status" bind Method.GET to { status() },
            "/api/audit" bind Method.GET to ::audit,
        )

    /** Submits [change]. Once it is accepted, waits up to [IN_FORCE_TIMEOUT_MS] for it to be in force everywhere. */
    fun submitAndWait(change: Change): Pair<SubmissionResult, InForce?> {
        val result = submission.submit(change)
        if (result !is SubmissionResult.Accepted) return result to null
        adoption.offer(result.record)
        return result to awaitVersion(result.record.version)
    }

    private fun awaitVersion(version: Long): InForce = awaitInForce { fleet.inForce(ConfigurationVersion(version)) }

    private fun awaitInForce(read: () -> InForce): InForce {
        var waitedMs = 0L
        while (true) {
            val state = read()
            if (state.dataCentres == state.total || waitedMs >= IN_FORCE_TIMEOUT_MS) return state
            Thread.sleep(IN_FORCE_POLL_INTERVAL_MS)
            waitedMs += IN_FORCE_POLL_INTERVAL_MS
        }
    }

    private fun configuration(): Response {
        val active = adoption.active ?: return Response(Status.NOT_FOUND).body("no configuration yet")
        return Response(Status.OK).header(VERSION_HEADER, active.version.number.toString()).body(active.record.document)
    }

    private fun submit(request: Request): Response {
        val change = readChange(request) ?: return Response(Status.BAD_REQUEST).body("base and change are required")
        val (result, inForce) = submitAndWait(change)
        return submissionResponse(result, change, inForce)
    }

    private fun check(request: Request): Response {
        val change = readChange(request) ?: return Response(Status.BAD_REQUEST).body("base and change are required")
        val result = submission.check(change)
        val inForce = (result as? SubmissionResult.Accepted)?.let { awaitVersion(it.record.version) }
        return submissionResponse(result, change, inForce)
    }

    private fun readChange(request: Request): Change? {
        val base = request.query("base")?.toLongOrNull() ?: return null
        val id = request.query("change")?.takeIf { it.isNotEmpty() } ?: return null
        return Change(id, request.header(OPERATOR_HEADER).orEmpty(), ConfigurationVersion(base), request.bodyString())
    }

    private fun submissionResponse(result: SubmissionResult, change: Change, inForce: InForce?): Response {
        val status =
            when (result) {
                is SubmissionResult.Accepted -> Status.OK
                is SubmissionResult.Refused -> Status.UNPROCESSABLE_ENTITY
                is SubmissionResult.LostRace -> Status.CONFLICT
                is SubmissionResult.Pending -> Status.ACCEPTED
            }
        return json(status, submissionJson(result, change.document, inForce).toString())
    }

    private fun inForce(request: Request): Response {
        val version = request.query("version")?.toLongOrNull() ?: return Response(Status.BAD_REQUEST).body("version is required")
        val state = fleet.inForce(ConfigurationVersion(version))
        return json(Status.OK, """{"inForce":${state.dataCentres},"dataCentres":${state.total}}""")
    }

    private fun override(request: Request): Response {
        val dataCentre = request.query("data-centre").orEmpty()
        val state = DataCentreState.entries.firstOrNull { it.text == request.query("state") }
        val id = request.query("change").orEmpty()
        if (state == null || id.isEmpty()) return Response(Status.BAD_REQUEST).body("state and change are required")
        val entry =
            overrides.requestState(DataCentreName(dataCentre), state, id, request.header(OPERATOR_HEADER).orEmpty())
                ?: return Response(Status.NOT_FOUND).body("there is no data centre \"$dataCentre\" in the configuration")
        val inForce = awaitInForce { fleet.overrideInForce(entry.changeId) }
        return json(Status.ACCEPTED, overrideJson(entry, inForce).toString())
    }

    private fun status(): Response {
        val counters = fleet.counters()
        return json(Status.OK, statusJson(adoption.version.number, members(), counters, fleet.rows(counters), overrides.entries).toString())
    }

    private fun audit(request: Request): Response =
        when (val result = readAudit(store, request.query("last")?.toIntOrNull() ?: DEFAULT_AUDIT_ENTRIES)) {
            is AuditResult.Entries -> json(Status.OK, auditJson(result).toString())
            is AuditResult.Unavailable -> Response(Status.SERVICE_UNAVAILABLE).body("the store is unavailable: ${result.cause}")
        }

    private fun json(status: Status, text: String): Response =
        Response(status).header("Content-Type", "application/json").body(text)
}
