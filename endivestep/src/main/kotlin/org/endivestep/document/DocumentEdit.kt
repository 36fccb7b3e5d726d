package org.endivestep.document

private val headerPattern = Regex("""\s*\[([^]]*)].*""")

/**
 * Returns [text] with [key] of [section] set to [value], or removed if [value] is empty. Comments
 * and order are preserved; an absent section is added at the end.
 */
internal fun withValue(text: String, section: String, key: String, value: String): String {
    val lines = text.lines().toMutableList()
    val header = lines.indexOfFirst { headerPattern.matchEntire(it)?.groupValues?.get(1)?.trim() == section }
    if (header < 0) return if (value.isEmpty()) text else text.trimEnd() + "\n\n[$section]\n$key = $value\n"
    val end = endOfSection(lines, header)
    val index = (header + 1 until end).firstOrNull { keyOf(lines[it]) == key }
    when {
        index != null && value.isEmpty() -> lines.removeAt(index)
        index != null -> lines[index] = "$key = $value"
        value.isNotEmpty() -> lines.add(lastContentLine(lines, header, end) + 1, "$key = $value")
    }
    return lines.joinToString("\n")
}

/** Returns [text] without [section]. */
internal fun withoutSection(text: String, section: String): String {
    val lines = text.lines()
    val header = lines.indexOfFirst { headerPattern.matchEntire(it)?.groupValues?.get(1)?.trim() == section }
    if (header < 0) return text
    return (lines.take(header) + lines.drop(endOfSection(lines, header))).joinToString("\n")
}

/** Returns [text] with the state of a data centre set. */
internal fun withDataCentreState(text: String, dataCentre: String, state: DataCentreState): String =
    withValue(text, "data-centre $dataCentre", "state", state.text)

private fun endOfSection(lines: List<String>, header: Int): Int {
    val next = (header + 1..lines.lastIndex).firstOrNull { headerPattern.matches(lines[it]) }
    return next ?: lines.size
}

private fun lastContentLine(lines: List<String>, header: Int, end: Int): Int =
    (header until end).last { it == header || lines[it].isNotBlank() }

private fun keyOf(line: String): String? {
    val trimmed = line.trim()
    if (trimmed.startsWith("#") || trimmed.startsWith(";")) return null
    val end = trimmed.indexOfFirst { it == '=' || it == ':' }
    return if (end < 0) null else trimmed.take(end).trim()
}
