package org.endivestep.fakes

import org.endivestep.store.CollectionEvent
import org.endivestep.store.CollectionItem
import org.endivestep.store.CollectionName
import org.endivestep.store.CurrentStoreEra
import org.endivestep.store.ListedCollection
import org.endivestep.store.ObjectCollections
import org.endivestep.store.StoreEra
import org.endivestep.store.StoreRevision
import org.endivestep.store.WatchedCollection
import org.endivestep.store.WriteResult

private data class StoredChange(val collection: String, val name: String, val text: String, val number: Long, val deleted: Boolean)

/** State of a store at one moment: all changes up to its revision. */
internal class StoreState private constructor(private val changes: List<StoredChange>, val number: Long) {
    fun with(collection: String, name: String, text: String, deleted: Boolean) =
        StoreState(changes + StoredChange(collection, name, text, number + 1, deleted), number + 1)

    fun items(collection: String, era: StoreEra): List<CollectionItem> =
        changes
            .filter { it.collection == collection }
            .groupBy { it.name }
            .values
            .map { it.last() }
            .filter { !it.deleted }
            .map { CollectionItem(it.name, StoreRevision(it.number, era), it.text) }

    fun eventsSince(collection: String, since: Long, era: StoreEra): List<CollectionEvent> =
        changes
            .filter { it.collection == collection && it.number > since }
            .map { CollectionEvent(CollectionItem(it.name, StoreRevision(it.number, era), it.text), it.deleted) }

    companion object {
        val empty = StoreState(emptyList(), 1)
    }
}

/** A store without waiting: it is restored from copies, and answers with old lists and with answers from before a restore. */
internal class RestoredCollections {
    private var era = StoreEra(0)
    private var beforeRestore = StoreState.empty

    var state = StoreState.empty
        private set

    /** State that a list shows which may be old. */
    var old = StoreState.empty

    /** Whether the next answer is one that the last restore overtook. */
    var nextAnswerIsLate = false

    fun write(collection: String, name: String, text: String) {
        state = state.with(collection, name, text, deleted = false)
    }

    fun delete(collection: String, name: String) {
        state = state.with(collection, name, "", deleted = true)
    }

    fun textOf(collection: String, name: String): String? = state.items(collection, era).firstOrNull { it.name == name }?.text

    fun restore(copy: StoreState) {
        beforeRestore = state
        old = state
        state = copy
        era = StoreEra(era.number + 1)
    }

    /** The store as a daemon sees it that knows of [known]: answers from an earlier era count as none. */
    fun seenBy(known: CurrentStoreEra): ObjectCollections = View(known)

    private inner class View(private val known: CurrentStoreEra) : ObjectCollections {
        override fun list(collection: CollectionName, allowStale: Boolean): ListedCollection {
            val answerEra = answerEra() ?: return ListedCollection.Unavailable("an answer from an earlier era")
            val shown = if (allowStale) old else stateIn(answerEra)
            return ListedCollection.Items(shown.items(collection.text, answerEra), StoreRevision(shown.number, answerEra))
        }

        override fun watch(collection: CollectionName, since: StoreRevision, timeoutMs: Long): WatchedCollection {
            val answerEra = answerEra() ?: return WatchedCollection.Unavailable("an answer from an earlier era")
            val shown = stateIn(answerEra)
            if (since.number > shown.number) return WatchedCollection.HistoryGone
            return WatchedCollection.Events(
                shown.eventsSince(collection.text, since.number, answerEra),
                StoreRevision(shown.number, answerEra),
            )
        }

        override fun write(collection: CollectionName, name: String, text: String): WriteResult = WriteResult.Unknown("not modelled")

        private fun answerEra(): StoreEra? {
            val isLate = nextAnswerIsLate && era.number > 0
            nextAnswerIsLate = false
            return (if (isLate) StoreEra(era.number - 1) else era).takeIf { known.observe(it, "the store") }
        }

        private fun stateIn(answerEra: StoreEra) = if (answerEra == era) state else beforeRestore
    }
}
