package org.endivestep.emulator

import kotlinx.serialization.json.JsonElement

/** An object of the platform's store; [revision] is the revision of its last change. */
internal class PlatformObject(val kind: String, val name: String, val spec: JsonElement, val revision: Long, val deleted: Boolean)

/**
 * Objects of the platform's store, by kind and name, with one revision counter and a history of all
 * changes, which can be discarded. The store can be restored as it was some time ago, which sets the
 * revision back and begins a new era. Thread-safe.
 */
internal class PlatformObjects(private val clockNanos: () -> Long = System::nanoTime) {
    private class Change(val changed: PlatformObject, val timeNanos: Long)

    private val lock = Object()
    private val objects = LinkedHashMap<Pair<String, String>, PlatformObject>()
    private var history = listOf<Change>()
    private var discardedUpTo = 0L

    @Volatile
    var revision = FIRST_REVISION
        private set

    /** Number of times that the store was restored. */
    @Volatile
    var era = 0L
        private set

    fun list(kind: String): List<PlatformObject> = synchronized(lock) { objects.values.filter { it.kind == kind }.sortedBy { it.name } }

    /** Creates the object, or returns null when it exists. */
    fun create(kind: String, name: String, spec: JsonElement): PlatformObject? =
        synchronized(lock) {
            if (objects.containsKey(kind to name)) null else record(PlatformObject(kind, name, spec, revision + 1, deleted = false))
        }

    /** Replaces the object, or returns null when there is none or [expected] is not its revision. */
    fun replace(kind: String, name: String, spec: JsonElement, expected: Long?): PlatformObject? =
        synchronized(lock) {
            val known = objects[kind to name]
            if (known == null || (expected != null && expected != known.revision)) {
                null
            } else {
                record(PlatformObject(kind, name, spec, revision + 1, deleted = false))
            }
        }

    fun delete(kind: String, name: String): Boolean =
        synchronized(lock) {
            val known = objects[kind to name] ?: return false
            record(PlatformObject(kind, name, known.spec, revision + 1, deleted = true))
            true
        }

    /** Discards all changes so far, so that a watch from an earlier revision fails because its history is gone. */
    fun discardHistory() =
        synchronized(lock) {
            discardedUpTo = revision
            lock.notifyAll()
        }

    /** Restores the store from a copy that is [seconds] old: later changes are lost, and their revisions are given out again. */
    fun restore(seconds: Double) =
        synchronized(lock) {
            val copiedNanos = clockNanos() - (seconds * NANOS_PER_SECOND).toLong()
            history = history.takeWhile { it.timeNanos <= copiedNanos }
            revision = history.lastOrNull()?.changed?.revision ?: FIRST_REVISION
            objects.clear()
            history.forEach { apply(it.changed) }
            era++
            lock.notifyAll()
        }

    /**
     * Waits at most [waitMs] for changes of [kind] after [since]; returns null when the history since then was discarded, or when
     * the store does not have that revision.
     */
    fun changes(kind: String, since: Long, waitMs: Long): List<PlatformObject>? {
        val untilNanos = System.nanoTime() + waitMs * NANOS_PER_MS
        synchronized(lock) {
            while (true) {
                if (since < discardedUpTo || since > revision) return null
                val changes = history.map { it.changed }.filter { it.kind == kind && it.revision > since }
                val remainingMs = (untilNanos - System.nanoTime()) / NANOS_PER_MS
                if (changes.isNotEmpty() || remainingMs <= 0) return changes
                lock.wait(remainingMs)
            }
        }
    }

    private fun record(changed: PlatformObject): PlatformObject {
        revision = changed.revision
        history = history + Change(changed, clockNanos())
        apply(changed)
        lock.notifyAll()
        return changed
    }

    private fun apply(changed: PlatformObject) {
        if (changed.deleted) objects.remove(changed.kind to changed.name) else objects[changed.kind to changed.name] = changed
    }

    private companion object {
        const val FIRST_REVISION = 1L
        const val NANOS_PER_MS = 1_000_000L
        const val NANOS_PER_SECOND = 1_000_000_000.0
    }
}
