package org.endivestep.configuration

import org.endivestep.document.Document
import org.endivestep.document.readDocument
import org.endivestep.findings.Checked
import org.endivestep.findings.Finding
import org.endivestep.identity.ConfigurationVersion
import org.endivestep.identity.noConfiguration
import org.endivestep.protocol.v1.ConfigurationRecord

/** The configuration in force: the stored record and the document parsed from it. */
internal class ActiveConfiguration(val record: ConfigurationRecord, val document: Document) {
    val version: ConfigurationVersion get() = ConfigurationVersion(record.version)
}

/** Parses and validates a document; `name` identifies it in findings. */
internal typealias DocumentParser = (name: String, text: String) -> Checked<Document>

/** Result of offering a configuration record. */
internal sealed interface Adoption {
    data class Adopted(val configuration: ActiveConfiguration) : Adoption

    /** The record is the one in force or has a lower version. */
    data object NotNewer : Adoption

    /** The record has the version in force but another change id: the store lost or replaced an object. */
    data object Conflicting : Adoption

    /** This version of the program cannot parse the document; the previous configuration stays in force. */
    data class Unreadable(val findings: List<Finding>) : Adoption
}

/**
 * Holds the configuration in force of one daemon, whose version only increases.
 *
 * Records come from the store and from peers, in any order, and may be repeated. Thread-safe.
 */
internal class ConfigurationAdoption(
    private val parse: DocumentParser = ::readDocument,
    private val onAdopted: (ActiveConfiguration) -> Unit = {},
) {
    @Volatile
    var active: ActiveConfiguration? = null
        private set

    val version: ConfigurationVersion get() = active?.version ?: noConfiguration

    @Synchronized
    fun offer(record: ConfigurationRecord): Adoption {
        val current = active
        if (current != null && record.version == current.record.version) {
            val same = record.change.changeId == current.record.change.changeId
            return if (same) Adoption.NotNewer else Adoption.Conflicting
        }
        if (ConfigurationVersion(record.version) <= version) return Adoption.NotNewer
        return when (val checked = parse("version ${record.version}", record.document)) {
            is Checked.Invalid -> Adoption.Unreadable(checked.findings)
            is Checked.Valid -> adopt(ActiveConfiguration(record, checked.value))
        }
    }

    private fun adopt(configuration: ActiveConfiguration): Adoption {
        active = configuration
        onAdopted(configuration)
        return Adoption.Adopted(configuration)
    }
}
