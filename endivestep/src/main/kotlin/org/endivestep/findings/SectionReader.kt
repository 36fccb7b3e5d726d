package org.endivestep.findings

/**
 * Reads typed values of one INI section and collects findings.
 *
 * [finish] reports the keys that were never read as unknown.
 */
internal class SectionReader(private val ini: IniText, private val section: String, private val findings: MutableList<Finding>) {
    private val known = mutableSetOf<String>()

    fun text(key: String, default: String? = null): String {
        known += key
        val value = ini.value(section, key)
        if (!value.isNullOrEmpty()) return value
        if (default == null) report(key, "is missing")
        return default.orEmpty()
    }

    fun number(key: String, range: LongRange, default: Long? = null): Long {
        val text = text(key, default?.toString())
        if (text.isEmpty()) return range.first
        val number = text.toLongOrNull()
        if (number == null || number !in range) {
            report(key, "must be a whole number from ${range.first} to ${range.last}, not \"$text\"")
            return range.first
        }
        return number
    }

    fun ratio(key: String, default: Double): Double {
        val text = text(key, default.toString())
        val number = text.toDoubleOrNull()
        if (number == null || number !in 0.0..1.0) {
            report(key, "must be a number from 0 to 1, not \"$text\"")
            return default
        }
        return number
    }

    fun <T> oneOf(key: String, choices: Map<String, T>, default: T): T {
        known += key
        val value = ini.value(section, key) ?: return default
        val choice = choices[value]
        if (choice == null) report(key, "must be one of ${choices.keys.joinToString(", ")}, not \"$value\"")
        return choice ?: default
    }

    fun list(key: String): List<String> {
        known += key
        return ini.value(section, key).orEmpty().split(',').map { it.trim() }.filter { it.isNotEmpty() }
    }

    /** Returns the values of all keys that begin with [prefix], keyed by the rest of the key. */
    fun prefixed(prefix: String): Map<String, String> {
        val keys = ini.keys(section).filter { it.startsWith(prefix) }
        known += keys
        return keys.associate { it.removePrefix(prefix) to ini.value(section, it).orEmpty() }
    }

    fun report(key: String?, message: String) {
        findings += ini.finding(section, key, message)
    }

    fun finish() {
        ini.keys(section).filter { it !in known }.forEach { report(it, "is not a known key") }
    }
}

internal val yesOrNo: Map<String, Boolean> = mapOf("yes" to true, "no" to false)
