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

    /** The record has the version in force and the same revision but another content: the store lost or replaced an object. */
    data object Conflicting : Adoption

    /** This version of the program cannot parse the document; the previous configuration stays in force. */
    data class Unreadable(val findings: List<Finding>) : Adoption
}

/**
 * Holds the configuration in force of one daemon, whose position only increases.
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

    val position: ConfigurationPosition get() = active?.record?.position ?: noPosition

    /** Returns the position of the configuration by which requests are served; waits for an adoption that is in progress. */
    @Synchronized
    fun settledPosition(): ConfigurationPosition = position

    @Synchronized
    fun offer(record: ConfigurationRecord): Adoption {
        val current = active
        if (current != null && record.hasContentOf(current.record)) return keep(current, record)
        if (record.position == position && current != null) return Adoption.Conflicting
        if (record.position <= position) return Adoption.NotNewer
        return when (val checked = parse("version ${record.version}", record.document)) {
            is Checked.Invalid -> Adoption.Unreadable(checked.findings)
            is Checked.Valid -> adopt(ActiveConfiguration(record, checked.value))
        }
    }

    private fun ConfigurationRecord.hasContentOf(other: ConfigurationRecord): Boolean =
        version == other.version && change.changeId == other.change.changeId && document == other.document

    // The later position is kept, so that a content that the store gave the same version in between is not taken for a newer one.
    private fun keep(current: ActiveConfiguration, record: ConfigurationRecord): Adoption {
        if (record.position > current.record.position) active = ActiveConfiguration(record, current.document)
        return Adoption.NotNewer
    }

    private fun adopt(configuration: ActiveConfiguration): Adoption {
        active = configuration
        onAdopted(configuration)
        return Adoption.Adopted(configuration)
    }
}
