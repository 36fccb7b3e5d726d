package org.endivestep.emulator

import kotlinx.serialization.json.JsonElement

/** An object of the platform's store; [revision] is the revision of its last change. */
internal class PlatformObject(val kind: String, val name: String, val spec: JsonElement, val revision: Long, val deleted: Boolean)

/**
 * Objects of the platform's store, by kind and name, with one revision counter and a history of all
 * changes, which can be discarded. Thread-safe.
 */
internal class PlatformObjects {
    private val lock = Object()
    private val objects = LinkedHashMap<Pair<String, String>, PlatformObject>()
    private val history = ArrayList<PlatformObject>()
    private var discardedUpTo = 0L

    var revision = 1L
        private set

    fun list(kind: String): List<PlatformObject> = synchronized(lock) { objects.values.filter { it.kind == kind }.sortedBy { it.name } }

    /** Creates the object, or returns null when it exists. */
    fun create(kind: String, name: String, spec: JsonElement): PlatformObject? =
        synchronized(lock) { if (kind to name in objects) null else put(kind, name, spec) }

    /** Replaces the object, or returns null when there is none or [expected] is not its revision. */
    fun replace(kind: String, name: String, spec: JsonElement, expected: Long?): PlatformObject? =
        synchronized(lock) {
            val known = objects[kind to name]
            if (known == null || (expected != null && expected != known.revision)) null else put(kind, name, spec)
        }

    fun delete(kind: String, name: String): Boolean =
        synchronized(lock) {
            val known = objects.remove(kind to name) ?: return false
            history += PlatformObject(kind, name, known.spec, ++revision, deleted = true)
            lock.notifyAll()
            true
        }

    /** Discards all changes so far, so that a watch from an earlier revision fails because its history is gone. */
    fun discardHistory() =
        synchronized(lock) {
            discardedUpTo = revision
            history.clear()
            lock.notifyAll()
        }

    /** Waits at most [waitMs] for changes of [kind] after [since]; returns null when the history since then was discarded. */
    fun changes(kind: String, since: Long, waitMs: Long): List<PlatformObject>? {
        val untilNanos = System.nanoTime() + waitMs * NANOS_PER_MS
        synchronized(lock) {
            while (true) {
                if (since < discardedUpTo) return null
                val changes = history.filter { it.kind == kind && it.revision > since }
                val remainingMs = (untilNanos - System.nanoTime()) / NANOS_PER_MS
                if (changes.isNotEmpty() || remainingMs <= 0) return changes
                lock.wait(remainingMs)
            }
        }
    }

    private fun put(kind: String, name: String, spec: JsonElement): PlatformObject {
        val stored = PlatformObject(kind, name, spec, ++revision, deleted = false)
        objects[kind to name] = stored
        history += stored
        lock.notifyAll()
        return stored
    }

    private companion object {
        const val NANOS_PER_MS = 1_000_000L
    }
}
