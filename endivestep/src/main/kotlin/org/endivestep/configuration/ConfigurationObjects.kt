package org.endivestep.configuration

import com.google.protobuf.InvalidProtocolBufferException
import org.endivestep.identity.ConfigurationVersion
import org.endivestep.protocol.v1.ChangeEntry
import org.endivestep.protocol.v1.ConfigurationRecord
import org.endivestep.store.ObjectKey

/** Key of the object that holds the current configuration record. */
internal val configurationKey = ObjectKey("configuration/current")

internal const val AUDIT_PREFIX = "audit/"

/** Returns the key of the audit entry of the change to [version]. */
internal fun auditKey(version: ConfigurationVersion): ObjectKey = ObjectKey("$AUDIT_PREFIX%012d".format(version.number))

/** Parses [bytes] as a configuration record; returns null if they are malformed. */
internal fun parseRecord(bytes: ByteArray): ConfigurationRecord? =
    try {
        ConfigurationRecord.parseFrom(bytes)
    } catch (_: InvalidProtocolBufferException) {
        null
    }

/** Parses [bytes] as an audit entry; returns null if they are malformed. */
internal fun parseEntry(bytes: ByteArray): ChangeEntry? =
    try {
        ChangeEntry.parseFrom(bytes)
    } catch (_: InvalidProtocolBufferException) {
        null
    }
