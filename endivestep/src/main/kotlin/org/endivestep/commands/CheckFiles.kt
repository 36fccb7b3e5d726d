package org.endivestep.commands

import kotlinx.serialization.json.add
import kotlinx.serialization.json.buildJsonObject
import kotlinx.serialization.json.putJsonArray
import org.endivestep.document.readDocument
import org.endivestep.findings.Checked
import org.endivestep.findings.Finding
import org.endivestep.settings.readDaemonSettings

/** Checks the given files and prints the findings of all of them together. */
internal fun checkFiles(settings: String?, document: String?, json: Boolean): ExitCode {
    if (settings == null && document == null) return fail(ExitCode.INVALID, "at least one of --settings and --document is required")
    val findings =
        listOfNotNull(
            settings?.let { path -> findingsOf(path, ::readDaemonSettings) },
            document?.let { path -> findingsOf(path, ::readDocument) },
        ).flatten()
    if (findings.isNotEmpty()) return reportFindings(findings, json)
    if (!json) println("no findings")
    if (json) println("""{"findings":[]}""")
    return ExitCode.SUCCESS
}

/** Prints [findings], as JSON on standard output or as lines on standard error. */
internal fun reportFindings(findings: List<Finding>, json: Boolean): ExitCode {
    if (json) {
        println(buildJsonObject { putJsonArray("findings") { findings.forEach { add(it.render()) } } })
    } else {
        findings.forEach { System.err.println(it.render()) }
    }
    return ExitCode.INVALID
}

private fun <T> findingsOf(path: String, read: (String, String) -> Checked<T>): List<Finding> {
    val text = readOrReport(path) ?: return listOf(Finding(path, null, null, null, "cannot be read"))
    return (read(path, text) as? Checked.Invalid)?.findings.orEmpty()
}
