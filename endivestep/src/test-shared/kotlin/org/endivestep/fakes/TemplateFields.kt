package org.endivestep.fakes

/** Fields from which the platform renders a template: texts, and tables of texts by name. */
internal class TemplateFields(val texts: Map<String, String>, val tables: Map<String, Map<String, String>>)

private val section = Regex("""\{\{#(\w+)\}\}(.*?)\{\{/\1\}\}""", RegexOption.DOT_MATCHES_ALL)
private val placeholder = Regex("""\{\{([\w.]+)\}\}""")

/** Renders [template] as the platform does: a section once for each entry of its table, where a dot is the entry and an at sign its key. */
internal fun renderTemplate(template: String, fields: TemplateFields): String {
    val expanded =
        section.replace(template) { match ->
            val entries = fields.tables[match.groupValues[1]].orEmpty()
            entries.map { (key, value) -> match.groupValues[2].replace("{{@}}", key).replace("{{.}}", value) }.joinToString("")
        }
    return placeholder.replace(expanded) { fields.texts[it.groupValues[1]].orEmpty() }
}
