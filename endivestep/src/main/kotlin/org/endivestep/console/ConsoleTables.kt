package org.endivestep.console

import kotlinx.html.FlowContent
import kotlinx.html.h2
import kotlinx.html.li
import kotlinx.html.p
import kotlinx.html.pre
import kotlinx.html.table
import kotlinx.html.td
import kotlinx.html.th
import kotlinx.html.tr
import kotlinx.html.ul
import org.endivestep.document.difference
import org.endivestep.metrics.FinalOutcome
import java.time.Instant

internal fun FlowContent.outcomeTable(rows: List<OutcomeRow>) {
    table {
        tr { listOf("Service", "Kind", "Outcome", "Data centre", "Requests").forEach { th { +it } } }
        rows.sortedBy { it.outcome == FinalOutcome.ANSWERED.text }.forEach { row ->
            tr(if (row.outcome == FinalOutcome.ANSWERED.text) "answered" else "short") {
                listOf(row.service, row.kind, row.outcome, row.dataCentre, row.count.toString()).forEach { td { +it } }
            }
        }
    }
}

internal fun FlowContent.auditEntries(audit: AuditResult.Entries) {
    audit.entries.forEach { entry ->
        h2 { +"Version ${entry.fromVersion} to ${entry.toVersion}" }
        p { +"${entry.operator}, ${Instant.ofEpochMilli(entry.timeMs)}" }
        pre { +entry.difference }
    }
    h2 { +"Refused sign-ins" }
    ul {
        audit.refusals.forEach { refusal -> li { +"${refusal.name} from ${refusal.source}, ${Instant.ofEpochMilli(refusal.timeMs)}" } }
    }
}
