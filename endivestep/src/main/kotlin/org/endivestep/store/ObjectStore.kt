package org.endivestep.store

/** Name of an object; parts are separated by `/`. */
@JvmInline
internal value class ObjectKey(val text: String)

/** Opaque version that the store assigned to an object; can only be compared for equality. */
@JvmInline
internal value class ObjectVersion(val text: String)

internal class StoredObject(val version: ObjectVersion, val bytes: ByteArray)

/** Result of reading an object. */
internal sealed interface ReadResult {
    class Found(val stored: StoredObject) : ReadResult

    data object Absent : ReadResult

    /** The store did not answer or returned an invalid answer. */
    data class Unavailable(val cause: String) : ReadResult
}

internal sealed interface ListResult {
    data class Keys(val keys: List<ObjectKey>) : ListResult

    data class Unavailable(val cause: String) : ListResult
}

/** Result of a conditional write. */
internal sealed interface WriteResult {
    data class Written(val version: ObjectVersion) : WriteResult

    /** The condition did not hold; nothing was written by this call. */
    data object Conflict : WriteResult

    /** No valid answer was received: the write may have taken effect, may still do so later, or may never do so. */
    data class Unknown(val cause: String) : WriteResult
}

/** Reads objects of the store. Every call blocks and is thread-safe. */
internal interface ObjectReader {
    fun get(key: ObjectKey): ReadResult

    fun list(prefix: String): ListResult

    /**
     * Waits until the version of [key] differs from [known], or until [timeoutMs] passed, and then
     * returns the same as [get]. Counts as an open call at the store for as long as it waits.
     */
    fun watch(key: ObjectKey, known: ObjectVersion?, timeoutMs: Long): ReadResult
}

/** Writes objects of the store conditionally. Every call blocks and is thread-safe. */
internal interface ObjectWriter {
    fun createIfAbsent(key: ObjectKey, bytes: ByteArray): WriteResult

    fun replaceIfVersion(key: ObjectKey, version: ObjectVersion, bytes: ByteArray): WriteResult

    fun deleteIfVersion(key: ObjectKey, version: ObjectVersion): WriteResult
}

internal interface ObjectStore :
    ObjectReader,
    ObjectWriter
