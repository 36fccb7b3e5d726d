package org.endivestep.console

import org.endivestep.configuration.AUDIT_PREFIX
import org.endivestep.configuration.configurationKey
import org.endivestep.configuration.parseEntry
import org.endivestep.configuration.parseRecord
import org.endivestep.protocol.v1.ChangeEntry
import org.endivestep.protocol.v1.SignInRefusal
import org.endivestep.store.ListResult
import org.endivestep.store.ObjectStore
import org.endivestep.store.ReadResult

/** Result of reading the audit trail. */
internal sealed interface AuditResult {
    /** Changes and refused sign-ins, the newest first. */
    data class Entries(val entries: List<ChangeEntry>, val refusals: List<SignInRefusal>) : AuditResult

    data class Unavailable(val cause: String) : AuditResult
}

/** Reads the last [max] changes and refused sign-ins. The newest change is stored in the configuration record itself. */
internal fun readAudit(store: ObjectStore, max: Int): AuditResult {
    val current =
        when (val result = store.get(configurationKey)) {
            is ReadResult.Found -> parseRecord(result.stored.bytes)?.change
            ReadResult.Absent -> null
            is ReadResult.Unavailable -> return AuditResult.Unavailable(result.cause)
        }
    val keys =
        when (val result = store.list(AUDIT_PREFIX)) {
            is ListResult.Keys -> result.keys.sortedByDescending { it.text }.take(max)
            is ListResult.Unavailable -> return AuditResult.Unavailable(result.cause)
        }
    val earlier = keys.mapNotNull { key -> (store.get(key) as? ReadResult.Found)?.let { parseEntry(it.stored.bytes) } }
    val entries = (listOfNotNull(current) + earlier).distinctBy { it.toVersion }
    return AuditResult.Entries(entries.sortedByDescending { it.toVersion }.take(max), readRefusals(store, max))
}

private fun readRefusals(store: ObjectStore, max: Int): List<SignInRefusal> {
    val keys = (store.list(SIGN_IN_PREFIX) as? ListResult.Keys)?.keys.orEmpty()
    val lists = keys.mapNotNull { key -> (store.get(key) as? ReadResult.Found)?.let { parseRefusals(it.stored.bytes) } }
    return lists.flatten().sortedByDescending { it.timeMs }.take(max)
}
