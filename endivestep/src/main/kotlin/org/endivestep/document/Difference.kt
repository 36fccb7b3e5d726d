package org.endivestep.document

import org.endivestep.findings.Checked
import org.endivestep.findings.IniText

private const val MAX_DIFFERENCE_LENGTH = 60_000

/**
 * Returns the difference of two documents: one line for each value that was removed (`-`) or
 * added (`+`), by section and key. Comments and order are ignored.
 */
internal fun difference(before: String, after: String): String {
    val old = values(before)
    val new = values(after)
    val lines =
        (old.keys + new.keys).filter { old[it] != new[it] }.flatMap { name ->
            listOfNotNull(
                old[name]?.let { "- $name$it" },
                new[name]?.let { "+ $name$it" },
            )
        }
    return lines.joinToString("\n").take(MAX_DIFFERENCE_LENGTH)
}

private fun values(text: String): Map<String, String> {
    val ini = (IniText.parse("document", text) as? Checked.Valid)?.value ?: return emptyMap()
    return ini.sections.flatMap { section ->
        val keys = ini.keys(section).map { "[$section] $it" to " = ${ini.value(section, it)}" }
        listOf("[$section]" to "") + keys
    }.toMap()
}
