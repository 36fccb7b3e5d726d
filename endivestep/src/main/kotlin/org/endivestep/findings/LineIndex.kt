package org.endivestep.findings

/** Index of the line numbers of the sections and keys of an INI text. */
internal class LineIndex(text: String) {
    /** Location of a section header, if [key] is null, or of a key. */
    data class Location(val section: String, val key: String?, val line: Int)

    private val locations = mutableListOf<Location>()

    /** Locations that repeat an earlier section or key. */
    val duplicates: List<Location>
        get() = locations.groupBy { it.section to it.key }.values.flatMap { it.drop(1) }

    init {
        var section = ""
        text.lineSequence().forEachIndexed { index, raw ->
            val line = raw.trim()
            val header = sectionPattern.matchEntire(line)
            val option = keyPattern.matchEntire(line)
            if (header != null) {
                section = header.groupValues[1].trim()
                locations += Location(section, null, index + 1)
            } else if (option != null) {
                locations += Location(section, option.groupValues[1].trim(), index + 1)
            }
        }
    }

    fun lineOf(section: String, key: String?): Int? =
        locations.firstOrNull { it.section == section && it.key == key }?.line

    private companion object {
        val sectionPattern = Regex("""\[([^]]*)].*""")
        val keyPattern = Regex("""([^#;=:\[][^=:]*)[=:].*""")
    }
}
