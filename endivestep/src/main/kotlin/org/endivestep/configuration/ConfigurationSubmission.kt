package org.endivestep.configuration

import org.endivestep.document.difference
import org.endivestep.document.readDocument
import org.endivestep.findings.Checked
import org.endivestep.findings.Finding
import org.endivestep.identity.ConfigurationVersion
import org.endivestep.identity.noConfiguration
import org.endivestep.protocol.toWire
import org.endivestep.protocol.v1.ChangeEntry
import org.endivestep.protocol.v1.ConfigurationRecord
import org.endivestep.store.ObjectStore
import org.endivestep.store.ObjectVersion
import org.endivestep.store.ReadResult
import org.endivestep.store.WriteResult

/**
 * A change submitted by an operator. [changeId] makes resubmission idempotent. [override] is set
 * when the change writes an override to the store.
 */
internal data class Change(
    val changeId: String,
    val operator: String,
    val base: ConfigurationVersion,
    val document: String,
    val override: DataCentreOverride? = null,
)

/** Result of submitting a change. */
internal sealed interface SubmissionResult {
    /** The store confirmed the change. */
    data class Accepted(val record: ConfigurationRecord) : SubmissionResult

    data class Refused(val findings: List<Finding>) : SubmissionResult

    /** Another change was accepted first; [current] is the record that is now in the store. */
    data class LostRace(val current: ConfigurationRecord) : SubmissionResult

    /** The store has not confirmed whether the change was written; check again with the same change id. */
    data class Pending(val cause: String) : SubmissionResult
}

/** Writes configuration changes to the store, serialized by conditional updates. */
internal class ConfigurationSubmission(private val store: ObjectStore, private val clockMs: () -> Long) {
    private class Current(val record: ConfigurationRecord, val version: ObjectVersion?)

    private sealed interface CurrentResult {
        class Known(val current: Current) : CurrentResult

        class Unavailable(val cause: String) : CurrentResult
    }

    /**
     * Submits [change]. It is accepted only if no other change was accepted since its base.
     *
     * The audit entry of the current version is written before that version is replaced, so the
     * audit trail has no gaps: the newest entry is in the record itself.
     */
    fun submit(change: Change): SubmissionResult {
        val checked = readDocument("document", change.document)
        if (checked is Checked.Invalid) return SubmissionResult.Refused(checked.findings)
        val current =
            when (val result = read()) {
                is CurrentResult.Unavailable -> return SubmissionResult.Pending(result.cause)
                is CurrentResult.Known -> result.current
            }
        if (current.record.version != change.base.number) return resolve(change, current)
        if (!writeAuditEntry(current.record)) return SubmissionResult.Pending("the audit entry of the current version could not be written")
        return write(change, current)
    }

    /** Returns the result of an earlier submission of [change], without writing anything. */
    fun check(change: Change): SubmissionResult =
        when (val result = read()) {
            is CurrentResult.Unavailable -> SubmissionResult.Pending(result.cause)
            is CurrentResult.Known -> resolve(change, result.current)
        }

    private fun write(change: Change, current: Current): SubmissionResult {
        val record = nextRecord(change, current.record)
        val bytes = record.toByteArray()
        val result =
            if (current.version == null) {
                store.createIfAbsent(configurationKey, bytes)
            } else {
                store.replaceIfVersion(configurationKey, current.version, bytes)
            }
        return if (result is WriteResult.Written) SubmissionResult.Accepted(record) else check(change)
    }

    // The change was accepted if the version after its base was written by it. The entry of that version is in the current
    // record or in the audit trail.
    private fun resolve(change: Change, current: Current): SubmissionResult {
        val target = change.base.next()
        if (current.record.version < target.number) {
            return SubmissionResult.Pending("the newest version in the store is still ${current.record.version}")
        }
        if (current.record.version == target.number) return compare(change, current.record.change, current.record)
        return when (val entry = store.get(auditKey(target))) {
            is ReadResult.Found -> compare(change, parseEntry(entry.stored.bytes), current.record)
            ReadResult.Absent -> SubmissionResult.LostRace(current.record)
            is ReadResult.Unavailable -> SubmissionResult.Pending(entry.cause)
        }
    }

    private fun compare(change: Change, entry: ChangeEntry?, current: ConfigurationRecord): SubmissionResult {
        if (entry?.changeId != change.changeId) return SubmissionResult.LostRace(current)
        val accepted = ConfigurationRecord.newBuilder().setVersion(entry.toVersion).setDocument(change.document)
        return SubmissionResult.Accepted(accepted.setChange(entry).build())
    }

    private fun nextRecord(change: Change, current: ConfigurationRecord): ConfigurationRecord {
        val entry =
            ChangeEntry
                .newBuilder()
                .setChangeId(change.changeId)
                .setOperator(change.operator)
                .setTimeMs(clockMs())
                .setFromVersion(change.base.number)
                .setToVersion(change.base.next().number)
                .setDifference(difference(current.document, change.document))
        return ConfigurationRecord
            .newBuilder()
            .setVersion(change.base.next().number)
            .setDocument(change.document)
            .setChange(entry)
            .addAllLatestStates(latestStatesAfter(current, change, entry.timeMs).map { it.toWire() })
            .build()
    }

    private fun writeAuditEntry(record: ConfigurationRecord): Boolean {
        if (record.version == noConfiguration.number) return true
        val key = auditKey(ConfigurationVersion(record.version))
        return when (store.createIfAbsent(key, record.change.toByteArray())) {
            is WriteResult.Written, WriteResult.Conflict -> true
            is WriteResult.Unknown -> store.get(key) is ReadResult.Found
        }
    }

    private fun read(): CurrentResult =
        when (val result = store.get(configurationKey)) {
            is ReadResult.Unavailable -> CurrentResult.Unavailable(result.cause)
            ReadResult.Absent -> CurrentResult.Known(Current(ConfigurationRecord.getDefaultInstance(), null))
            is ReadResult.Found -> known(result)
        }

    private fun known(found: ReadResult.Found): CurrentResult {
        val record = parseRecord(found.stored.bytes) ?: return CurrentResult.Unavailable("the stored configuration record is malformed")
        return CurrentResult.Known(Current(record, found.stored.version))
    }
}
