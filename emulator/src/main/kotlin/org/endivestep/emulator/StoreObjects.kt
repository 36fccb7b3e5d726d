package org.endivestep.emulator

import java.util.TreeMap

/** One object of the emulated store; a [version] is never reused, not even after a deletion. */
internal class EmulatedObject(val version: Long, val bytes: ByteArray)

/** Precondition of a write. */
internal sealed interface WriteCondition {
    data object Absent : WriteCondition

    data class Version(val version: Long) : WriteCondition
}

/** Objects with versions, conditional writes and watches. Thread-safe. */
internal class StoreObjects {
    private val objects = TreeMap<String, EmulatedObject>()
    private var lastVersion = 0L
    private val lock = Object()

    fun get(key: String): EmulatedObject? = synchronized(lock) { objects[key] }

    fun keys(prefix: String): List<String> = synchronized(lock) { objects.keys.filter { it.startsWith(prefix) } }

    /** Writes the object if [condition] holds and returns it; otherwise returns null. */
    fun put(key: String, condition: WriteCondition, bytes: ByteArray): EmulatedObject? =
        synchronized(lock) {
            if (!holds(key, condition)) return null
            val written = EmulatedObject(++lastVersion, bytes)
            objects[key] = written
            lock.notifyAll()
            written
        }

    fun delete(key: String, condition: WriteCondition): Boolean =
        synchronized(lock) {
            if (!holds(key, condition)) return false
            objects.remove(key)
            lock.notifyAll()
            true
        }

    /** Waits until the version of [key] differs from [known] (null when absent), [waitMs] have passed or [isOpen] returns false. */
    fun watch(key: String, known: Long?, waitMs: Long, isOpen: () -> Boolean): EmulatedObject? {
        val untilNanos = System.nanoTime() + waitMs * NANOS_PER_MS
        synchronized(lock) {
            while (objects[key]?.version == known && isOpen()) {
                val remainingMs = (untilNanos - System.nanoTime()) / NANOS_PER_MS
                if (remainingMs <= 0) break
                lock.wait(minOf(remainingMs, RECHECK_INTERVAL_MS))
            }
            return objects[key]
        }
    }

    private fun holds(key: String, condition: WriteCondition): Boolean =
        when (condition) {
            WriteCondition.Absent -> key !in objects
            is WriteCondition.Version -> objects[key]?.version == condition.version
        }

    private companion object {
        const val NANOS_PER_MS = 1_000_000L
        const val RECHECK_INTERVAL_MS = 100L
    }
}
