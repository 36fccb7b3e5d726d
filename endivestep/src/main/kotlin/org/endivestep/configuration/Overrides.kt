package org.endivestep.configuration

import org.endivestep.document.DataCentreState
import org.endivestep.document.Document
import org.endivestep.document.withDataCentreState
import org.endivestep.identity.ConfigurationVersion
import org.endivestep.identity.DataCentreName

/**
 * The configuration in force together with the overrides that the store has not confirmed yet.
 *
 * An override is kept until a configuration contains it or a later state of the same data centre, or
 * until a later override supersedes it. Overrides come from operators and from peers, in any order,
 * and may be repeated. [onChanged] is called after an override was added. Thread-safe.
 */
internal class Overrides(private val clockMs: () -> Long, private val onChanged: () -> Unit = {}) {
    private val byDataCentre = LinkedHashMap<DataCentreName, DataCentreOverride>()
    private var active: ActiveConfiguration? = null

    /** The document in force with all overrides applied; null before the first configuration. */
    @Volatile
    var document: Document? = null
        private set

    /** Overrides in force, as of the last change. */
    @Volatile
    var entries: List<DataCentreOverride> = emptyList()
        private set

    /** Replaces the configuration in force and drops the overrides that it makes obsolete. */
    @Synchronized
    fun adopted(configuration: ActiveConfiguration) {
        active = configuration
        byDataCentre.values.removeAll(::isObsolete)
        publish()
    }

    /** Records the state that an operator requested for [dataCentre]; returns null when there is no such data centre. */
    @Synchronized
    fun requestState(dataCentre: DataCentreName, state: DataCentreState, changeId: String, operator: String): DataCentreOverride? {
        val configuration = active ?: return null
        if (dataCentre !in configuration.document.dataCentres) return null
        val earlier = byDataCentre[dataCentre]
        if (earlier?.changeId == changeId) return earlier
        val confirmed = configuration.record.latestStates()[dataCentre]
        // Later than the state that it replaces, so that the order does not depend on the clocks of the daemons.
        val timeMs = maxOf(clockMs(), (earlier?.timeMs ?: 0) + 1, (confirmed?.timeMs ?: 0) + 1)
        val entry = DataCentreOverride(dataCentre, state, changeId, operator, timeMs)
        byDataCentre[dataCentre] = entry
        publish()
        onChanged()
        return entry
    }

    /** Merges overrides received from a peer. */
    @Synchronized
    fun merge(received: List<DataCentreOverride>) {
        val accepted = received.filterNot(::isObsolete).filter { entry -> byDataCentre[entry.dataCentre]?.let(entry::supersedes) ?: true }
        accepted.forEach { byDataCentre[it.dataCentre] = it }
        if (accepted.isEmpty()) return
        publish()
        onChanged()
    }

    /** Returns the change that writes the earliest override, on top of the version in force. */
    @Synchronized
    fun nextChange(): Change? {
        val record = active?.record ?: return null
        val entry = byDataCentre.values.minByOrNull { it.timeMs } ?: return null
        val text = withDataCentreState(record.document, entry.dataCentre.text, entry.state)
        return Change(entry.changeId, entry.operator, ConfigurationVersion(record.version), text, entry)
    }

    private fun isObsolete(entry: DataCentreOverride): Boolean {
        val configuration = active ?: return false
        if (entry.dataCentre !in configuration.document.dataCentres) return true
        val confirmed = configuration.record.latestStates()[entry.dataCentre] ?: return false
        return entry.changeId == confirmed.changeId || !entry.supersedes(confirmed)
    }

    private fun publish() {
        entries = byDataCentre.values.toList()
        document = active?.document?.let(::applied)
    }

    private fun applied(document: Document): Document {
        val changed = byDataCentre.values.mapNotNull { entry -> document.dataCentres[entry.dataCentre]?.copy(state = entry.state) }
        return document.copy(dataCentres = document.dataCentres + changed.associateBy { it.name })
    }
}
