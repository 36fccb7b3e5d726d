package org.endivestep.fakes

import org.endivestep.exchange.monotonicMs
import org.endivestep.store.ListResult
import org.endivestep.store.ObjectKey
import org.endivestep.store.ObjectStore
import org.endivestep.store.ObjectVersion
import org.endivestep.store.ReadResult
import org.endivestep.store.StoredObject
import org.endivestep.store.WriteResult

/** Fault injected into one call of the store. */
internal enum class StoreFault {
    NONE,

    /** The store is unavailable: the call has no effect and gets no answer. */
    UNAVAILABLE,

    /** The write takes effect, but its answer is lost. */
    LOST_ANSWER,

    /** The write is applied only when [FakeStore.applyLateWrites] is called, and its answer is lost. */
    LATE_WRITE,
}

internal enum class StoreCall { READ, CREATE, REPLACE }

/** In-memory store with fault injection: [fault] returns the fault for each read and write; lists and deletions have none. */
internal class FakeStore(var fault: (StoreCall) -> StoreFault = { StoreFault.NONE }) : ObjectStore {
    private val objects = HashMap<ObjectKey, StoredObject>()
    private val lateWrites = ArrayDeque<() -> Unit>()
    private var lastVersion = 0

    @Suppress("PLATFORM_CLASS_MAPPED_TO_KOTLIN") // Any has no wait() and notifyAll().
    private val monitor get() = this as Object

    /** Delay in milliseconds before a replacement takes effect. */
    @Volatile
    var replaceDelayMs = 0L

    /** Applies the delayed writes; each still checks its own condition. */
    @Synchronized
    fun applyLateWrites() {
        while (lateWrites.isNotEmpty()) lateWrites.removeFirst()()
    }

    /** Reads without fault injection. */
    @Synchronized
    fun peek(key: ObjectKey): ByteArray? = objects[key]?.bytes

    @Synchronized
    override fun get(key: ObjectKey): ReadResult {
        if (fault(StoreCall.READ) == StoreFault.UNAVAILABLE) return ReadResult.Unavailable("the store is unavailable")
        return objects[key]?.let { ReadResult.Found(it) } ?: ReadResult.Absent
    }

    @Synchronized
    override fun list(prefix: String): ListResult = ListResult.Keys(objects.keys.filter { it.text.startsWith(prefix) })

    @Synchronized
    override fun watch(key: ObjectKey, known: ObjectVersion?, timeoutMs: Long): ReadResult {
        val deadlineMs = monotonicMs() + timeoutMs
        while (objects[key]?.version == known) {
            val remainingMs = deadlineMs - monotonicMs()
            if (remainingMs <= 0) break
            monitor.wait(remainingMs)
        }
        return get(key)
    }

    override fun createIfAbsent(key: ObjectKey, bytes: ByteArray): WriteResult = write(StoreCall.CREATE, key, bytes) { it == null }

    override fun replaceIfVersion(key: ObjectKey, version: ObjectVersion, bytes: ByteArray): WriteResult {
        Thread.sleep(replaceDelayMs)
        return write(StoreCall.REPLACE, key, bytes) { it?.version == version }
    }

    @Synchronized
    override fun deleteIfVersion(key: ObjectKey, version: ObjectVersion): WriteResult {
        if (objects[key]?.version != version) return WriteResult.Conflict
        objects.remove(key)
        monitor.notifyAll()
        return WriteResult.Written(version)
    }

    @Synchronized
    private fun write(call: StoreCall, key: ObjectKey, bytes: ByteArray, condition: (StoredObject?) -> Boolean): WriteResult {
        fun applyWrite(): WriteResult {
            if (!condition(objects[key])) return WriteResult.Conflict
            val stored = StoredObject(ObjectVersion("${++lastVersion}"), bytes)
            objects[key] = stored
            monitor.notifyAll()
            return WriteResult.Written(stored.version)
        }
        return when (fault(call)) {
            StoreFault.NONE -> applyWrite()
            StoreFault.UNAVAILABLE -> WriteResult.Unknown("the store is unavailable")
            StoreFault.LOST_ANSWER -> {
                applyWrite()
                WriteResult.Unknown("the answer was lost")
            }
            StoreFault.LATE_WRITE -> {
                lateWrites.addLast { applyWrite() }
                WriteResult.Unknown("the answer was lost")
            }
        }
    }
}
