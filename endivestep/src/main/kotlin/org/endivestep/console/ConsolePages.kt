package org.endivestep.console

import kotlinx.html.FlowContent
import kotlinx.html.FormMethod
import kotlinx.html.a
import kotlinx.html.body
import kotlinx.html.form
import kotlinx.html.h2
import kotlinx.html.li
import kotlinx.html.p
import kotlinx.html.pre
import kotlinx.html.submitInput
import kotlinx.html.table
import kotlinx.html.td
import kotlinx.html.th
import kotlinx.html.tr
import kotlinx.html.ul
import org.endivestep.configuration.ActiveConfiguration
import org.endivestep.configuration.Change
import org.endivestep.configuration.ConfigurationAdoption
import org.endivestep.configuration.Overrides
import org.endivestep.configuration.SubmissionResult
import org.endivestep.document.DataCentreState
import org.endivestep.document.difference
import org.endivestep.document.withDataCentreState
import org.endivestep.document.withValue
import org.endivestep.document.withoutSection
import org.endivestep.findings.Checked
import org.endivestep.findings.IniText
import org.endivestep.identity.ConfigurationVersion
import org.endivestep.identity.DataCentreName
import org.endivestep.identity.randomId
import org.endivestep.membership.MemberInfo
import org.endivestep.membership.MemberState
import org.endivestep.store.ObjectStore
import org.http4k.core.Method
import org.http4k.core.Request
import org.http4k.core.Response
import org.http4k.core.Status
import org.http4k.core.body.form
import org.http4k.core.body.formAsMap
import org.http4k.routing.RoutingHttpHandler
import org.http4k.routing.bind
import org.http4k.routing.routes

private const val AUDIT_ENTRIES = 50

/** Web console for operators. Each form edits the configuration document and submits the result like any other document. */
internal class ConsolePages(
    private val adoption: ConfigurationAdoption,
    private val api: AdminApi,
    private val fleet: FleetStatus,
    private val store: ObjectStore,
    private val overrides: Overrides,
    private val members: () -> List<MemberInfo>,
) {
    fun routes(): RoutingHttpHandler =
        routes(
            "/" bind Method.GET to { overview() },
            "/document" bind Method.GET to { document() },
            "/document" bind Method.POST to ::submitDocument,
            "/section" bind Method.POST to ::submitSection,
            "/section/remove" bind Method.POST to ::removeSection,
            "/data-centre" bind Method.POST to ::submitDataCentre,
            "/audit" bind Method.GET to { audit() },
        )

    private fun overview(): Response {
        val counters = fleet.counters()
        val alive = members().count { it.state == MemberState.ALIVE }
        return page("Overview") {
            p { +"Configuration version ${adoption.version.number}; ${counters.size} of $alive daemons answered." }
            h2 { +"Where service fell short" }
            outcomeTable(fleet.rows(counters))
            h2 { +"Data centres" }
            dataCentreForms()
            h2 { +"Daemons" }
            memberTable()
        }
    }

    private fun FlowContent.dataCentreForms() {
        val active = adoption.active ?: return
        val unconfirmed = overrides.entries.map { it.dataCentre }
        overrides.document?.dataCentres?.values.orEmpty().forEach { centre ->
            val next = if (centre.state == DataCentreState.IN) DataCentreState.OUT else DataCentreState.IN
            form(action = "/data-centre", method = FormMethod.post) {
                baseVersionInput(active)
                hiddenInput("name", centre.name.text)
                hiddenInput("state", next.text)
                +"${centre.name.text} (${centre.region}) is ${centre.state.text} "
                if (centre.name in unconfirmed) +"(the store has not confirmed it yet) "
                submitInput { value = if (next == DataCentreState.OUT) "Take out of service" else "Return to service" }
            }
        }
    }

    private fun FlowContent.memberTable() {
        table {
            tr { listOf("VM", "Data centre", "State", "Service", "Serving").forEach { th { +it } } }
            members().sortedBy { it.vm.text }.forEach { member ->
                tr {
                    val worker = member.worker
                    val cells =
                        listOf(
                            member.vm.text,
                            member.dataCentre.text,
                            member.state.name.lowercase(),
                            worker?.service?.text.orEmpty(),
                            if (worker?.serving == true) "yes" else "no",
                        )
                    cells.forEach { td { +it } }
                }
            }
        }
    }

    private fun document(): Response {
        val active = adoption.active
        val text = active?.record?.document.orEmpty()
        return page("Document") {
            p { +"Version ${adoption.version.number}" }
            val ini = (IniText.parse("document", text) as? Checked.Valid)?.value
            ini?.sections?.forEach { section -> sectionForms(active, ini, section) }
            h2 { +"New section" }
            sectionEditForm(active, section = null, values = emptyList())
            h2 { +"Whole document" }
            documentForm(adoption.version, text)
        }
    }

    private fun FlowContent.sectionForms(active: ActiveConfiguration?, ini: IniText, section: String) {
        h2 { +"[$section]" }
        sectionEditForm(active, section, ini.keys(section).map { it to ini.value(section, it).orEmpty() })
        form(action = "/section/remove", method = FormMethod.post) {
            baseVersionInput(active)
            hiddenInput(SECTION_FIELD, section)
            submitInput { value = "Remove section" }
        }
    }

    private fun submitDocument(request: Request): Response =
        submit(request) { request.form(DOCUMENT_FIELD).orEmpty().replace("\r\n", "\n") }

    // While the store does not confirm the change, an override puts it in force.
    private fun submitDataCentre(request: Request): Response {
        val name = DataCentreName(request.form("name").orEmpty())
        val state = DataCentreState.entries.firstOrNull { it.text == request.form("state") } ?: DataCentreState.IN
        val id = randomId()
        if (overrides.entries.any { it.dataCentre == name }) return override(request, name, state, id)
        return submit(request, id, onPending = { override(request, name, state, id) }) { text ->
            withDataCentreState(text, name.text, state)
        }
    }

    private fun override(request: Request, dataCentre: DataCentreName, state: DataCentreState, id: String): Response {
        overrides.requestState(dataCentre, state, id, request.header(OPERATOR_HEADER).orEmpty())
            ?: return Response(Status.NOT_FOUND).body("there is no data centre \"${dataCentre.text}\"")
        return page("Not confirmed yet") {
            p { +"${dataCentre.text} is ${state.text} by an override, which is written when the store answers." }
        }
    }

    private fun removeSection(request: Request): Response =
        submit(request) { text -> withoutSection(text, request.form(SECTION_FIELD).orEmpty()) }

    private fun submitSection(request: Request): Response =
        submit(request) { text ->
            val section = request.form(SECTION_FIELD).orEmpty().trim()
            val values = request.formAsMap().filterKeys { it.startsWith(VALUE_PREFIX) }
            val edited =
                values.entries.fold(text) { current, (field, given) ->
                    withValue(current, section, field.removePrefix(VALUE_PREFIX), given.firstOrNull().orEmpty().trim())
                }
            val newKey = request.form("new-key").orEmpty().trim()
            if (newKey.isEmpty()) edited else withValue(edited, section, newKey, request.form("new-value").orEmpty().trim())
        }

    // The edit applies to the version that the form showed. When another version is in force by now, the submission is rejected and the
    // newer change is shown.
    private fun submit(
        request: Request,
        id: String = randomId(),
        onPending: (() -> Response)? = null,
        edit: (String) -> String,
    ): Response {
        val base = request.form(BASE_FIELD)?.toLongOrNull() ?: return Response(Status.BAD_REQUEST).body("base is required")
        val current = adoption.active
        if (current != null && current.version.number != base) return staleBasePage(current, base)
        val edited = edit(current?.record?.document.orEmpty())
        val change = Change(id, request.header(OPERATOR_HEADER).orEmpty(), ConfigurationVersion(base), edited)
        val (result, inForce) = api.submitAndWait(change)
        if (result is SubmissionResult.Pending && onPending != null) return onPending()
        return resultPage(result, change, inForce)
    }

    private fun staleBasePage(current: ActiveConfiguration, base: Long): Response =
        page("Not accepted") {
            p { +"The form showed version $base, but version ${current.version.number} is in force now." }
            p { +"It was changed by ${current.record.change.operator}:" }
            pre { +current.record.change.difference }
            a("/document") { +"Edit the current document" }
        }

    private fun resultPage(result: SubmissionResult, change: Change, inForce: InForce?): Response =
        when (result) {
            is SubmissionResult.Accepted ->
                page("Accepted as version ${result.record.version}") {
                    p { +"In force in ${inForce?.dataCentres} of ${inForce?.total} data centres." }
                    pre { +result.record.change.difference }
                }
            is SubmissionResult.Refused ->
                page("Refused") {
                    ul { result.findings.forEach { finding -> li { +finding.render() } } }
                    documentForm(change.base, change.document)
                }
            is SubmissionResult.LostRace ->
                page("Not accepted: another change was accepted first") {
                    p { +"Version ${result.current.version} by ${result.current.change.operator}. Yours differs from it by:" }
                    pre { +difference(result.current.document, change.document) }
                    documentForm(ConfigurationVersion(result.current.version), change.document)
                }
            is SubmissionResult.Pending ->
                page("Outcome not known yet") {
                    p { +"The store has not confirmed the change: ${result.cause}." }
                    p { +"Look at the audit trail for version ${change.base.next().number} before submitting it again." }
                }
        }

    private fun audit(): Response =
        page("Audit trail") {
            when (val result = readAudit(store, AUDIT_ENTRIES)) {
                is AuditResult.Unavailable -> p { +"The store is unavailable: ${result.cause}" }
                is AuditResult.Entries -> auditEntries(result)
            }
        }
}
