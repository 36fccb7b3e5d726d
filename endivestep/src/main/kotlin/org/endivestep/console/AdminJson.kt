package org.endivestep.console

import kotlinx.serialization.json.JsonObject
import kotlinx.serialization.json.JsonObjectBuilder
import kotlinx.serialization.json.add
import kotlinx.serialization.json.addJsonObject
import kotlinx.serialization.json.buildJsonObject
import kotlinx.serialization.json.put
import kotlinx.serialization.json.putJsonArray
import org.endivestep.configuration.DataCentreOverride
import org.endivestep.configuration.SubmissionResult
import org.endivestep.document.difference
import org.endivestep.membership.MemberInfo
import org.endivestep.protocol.v1.Counters

/** Renders the result of a submission; [inForce] is set only when it was accepted. */
internal fun submissionJson(result: SubmissionResult, submitted: String, inForce: InForce?): JsonObject =
    buildJsonObject {
        when (result) {
            is SubmissionResult.Accepted -> {
                put("result", "accepted")
                put("version", result.record.version)
                if (inForce != null) {
                    put("inForce", inForce.dataCentres)
                    put("dataCentres", inForce.total)
                }
            }
            is SubmissionResult.Refused -> {
                put("result", "refused")
                putJsonArray("findings") { result.findings.forEach { add(it.render()) } }
            }
            is SubmissionResult.LostRace -> {
                put("result", "lost-race")
                put("version", result.current.version)
                put("operator", result.current.change.operator)
                put("difference", difference(result.current.document, submitted))
            }
            is SubmissionResult.Pending -> {
                put("result", "pending")
                put("cause", result.cause)
            }
        }
    }

internal fun auditJson(audit: AuditResult.Entries): JsonObject =
    buildJsonObject {
        putJsonArray("refusals") {
            audit.refusals.forEach { refusal ->
                addJsonObject {
                    put("name", refusal.name)
                    put("source", refusal.source)
                    put("timeMs", refusal.timeMs)
                }
            }
        }
        putJsonArray("changes") {
            audit.entries.forEach { entry ->
                addJsonObject {
                    put("from", entry.fromVersion)
                    put("to", entry.toVersion)
                    put("operator", entry.operator)
                    put("timeMs", entry.timeMs)
                    put("difference", entry.difference)
                }
            }
        }
    }

/** Renders an override that was accepted. */
internal fun overrideJson(entry: DataCentreOverride, inForce: InForce): JsonObject =
    buildJsonObject {
        put("result", "override")
        put("dataCentre", entry.dataCentre.text)
        put("state", entry.state.text)
        put("change", entry.changeId)
        put("inForce", inForce.dataCentres)
        put("dataCentres", inForce.total)
    }

internal fun overridesJson(entries: List<DataCentreOverride>): JsonObject = buildJsonObject { putOverrides(entries) }

private fun JsonObjectBuilder.putOverrides(entries: List<DataCentreOverride>) {
    putJsonArray("overrides") {
        entries.forEach { entry ->
            addJsonObject {
                put("dataCentre", entry.dataCentre.text)
                put("state", entry.state.text)
                put("operator", entry.operator)
                put("timeMs", entry.timeMs)
            }
        }
    }
}

internal fun statusJson(
    version: Long,
    members: List<MemberInfo>,
    counters: List<Counters>,
    rows: List<OutcomeRow>,
    overrides: List<DataCentreOverride>,
): JsonObject =
    buildJsonObject {
        put("version", version)
        putOverrides(overrides)
        putJsonArray("daemons") {
            members.forEach { member ->
                addJsonObject {
                    put("vm", member.vm.text)
                    put("dataCentre", member.dataCentre.text)
                    put("state", member.state.name.lowercase())
                    put("service", member.worker?.service?.text.orEmpty())
                    put("serving", member.worker?.serving ?: false)
                    put("version", counters.firstOrNull { it.vm == member.vm.text }?.configurationVersion ?: 0)
                }
            }
        }
        putJsonArray("outcomes") {
            rows.forEach { row ->
                addJsonObject {
                    put("service", row.service)
                    put("kind", row.kind)
                    put("dataCentre", row.dataCentre)
                    put("outcome", row.outcome)
                    put("count", row.count)
                }
            }
        }
    }
