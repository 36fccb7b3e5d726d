package org.endivestep.emulator

import kotlinx.serialization.json.JsonElement

/** An object of the users' store; [revision] is that of its last change. */
internal class PlatformObject(val kind: String, val name: String, val spec: JsonElement, val revision: Long, val deleted: Boolean)

/**
 * Objects of the users' store, by kind and name, with one counter of revisions and a history of all
 * changes that can be forgotten. Thread-safe.
 */
internal class PlatformObjects {
    private val lock = Object()
    private val objects = LinkedHashMap<Pair<String, String>, PlatformObject>()
    private val history = ArrayList<PlatformObject>()
    private var forgottenTo = 0L

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

    /** Forgets all changes so far, so that a watch from before is told that its history is gone. */
    fun forgetHistory() =
        synchronized(lock) {
            forgottenTo = revision
            history.clear()
            lock.notifyAll()
        }

    /** Waits for changes of [kind] after [since], for at most [waitMs]; null when that history is gone. */
    fun changes(kind: String, since: Long, waitMs: Long): List<PlatformObject>? {
        val untilNanos = System.nanoTime() + waitMs * NANOS_A_MILLISECOND
        synchronized(lock) {
            while (true) {
                if (since < forgottenTo) return null
                val changes = history.filter { it.kind == kind && it.revision > since }
                val leftMs = (untilNanos - System.nanoTime()) / NANOS_A_MILLISECOND
                if (changes.isNotEmpty() || leftMs <= 0) return changes
                lock.wait(leftMs)
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
        const val NANOS_A_MILLISECOND = 1_000_000L
    }
}
