package org.endivestep.findings

/**
 * A validation problem in an INI file.
 *
 * [line] starts at 1 and is null when the problem is an absent section or key.
 */
internal data class Finding(val file: String, val section: String?, val key: String?, val line: Int?, val message: String) {
    /** Formats the finding as `file:line: [section] key: message`, without the unknown parts. */
    fun render(): String {
        val location = if (line == null) file else "$file:$line"
        val name = listOfNotNull(section?.let { "[$it]" }, key).joinToString(" ")
        return if (name.isEmpty()) "$location: $message" else "$location: $name: $message"
    }
}

/** Result of a validation: a value, or all problems that were found. */
internal sealed interface Checked<out T> {
    data class Valid<T>(val value: T) : Checked<T>

    data class Invalid(val findings: List<Finding>) : Checked<Nothing>
}
