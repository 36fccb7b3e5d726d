package org.endivestep.findings

import org.ini4j.Config
import org.ini4j.Ini
import org.ini4j.InvalidFileFormatException
import java.io.StringReader

/**
 * A parsed INI text with the line numbers of its sections and keys.
 *
 * ini4j parses the values; the line numbers come from a separate scan, because ini4j does not keep them.
 */
internal class IniText private constructor(val file: String, private val ini: Ini, private val lines: LineIndex) {
    val sections: List<String> get() = ini.keys.toList()

    /** Returns the keys of [section], or an empty list when it is absent. */
    fun keys(section: String): List<String> = ini[section]?.keys?.toList().orEmpty()

    /** Returns the trimmed value, or null when the key is absent. */
    fun value(section: String, key: String): String? = ini[section]?.get(key)?.trim()

    /** Creates a finding at the line of [key], or at the line of the section if the key is absent. */
    fun finding(section: String, key: String?, message: String): Finding {
        val line = lines.lineOf(section, key) ?: lines.lineOf(section, null)
        return Finding(file, section, key, line, message)
    }

    private fun duplicates(): List<Finding> =
        lines.duplicates.map { Finding(file, it.section, it.key, it.line, "is given more than once") }

    companion object {
        /** Parses [text]; [file] is used in findings. Text that is not valid INI gives one finding. */
        fun parse(file: String, text: String): Checked<IniText> {
            val ini = Ini()
            ini.config = iniConfig()
            val problem = load(ini, text)
            if (problem != null) return Checked.Invalid(listOf(Finding(file, null, null, null, problem)))
            val parsed = IniText(file, ini, LineIndex(text))
            val duplicates = parsed.duplicates()
            return if (duplicates.isEmpty()) Checked.Valid(parsed) else Checked.Invalid(duplicates)
        }

        private fun load(ini: Ini, text: String): String? =
            try {
                ini.load(StringReader(text))
                null
            } catch (e: InvalidFileFormatException) {
                e.message ?: "is not valid INI"
            }

        private fun iniConfig(): Config {
            val config = Config()
            config.isEscape = false
            config.isMultiSection = false
            config.isMultiOption = false
            config.isEmptyOption = true
            config.disablePathSeparator()
            return config
        }

        private fun Config.disablePathSeparator() {
            pathSeparator = '\u0000'
        }
    }
}
