package org.endivestep.store

/** Name of a set of objects that is listed and watched as a whole. */
@JvmInline
internal value class CollectionName(val text: String)

/** Counter of all changes in the store; a later change has a higher one. */
@JvmInline
internal value class StoreRevision(val number: Long) : Comparable<StoreRevision> {
    override fun compareTo(other: StoreRevision): Int = number.compareTo(other.number)
}

/** An object of a collection. [text] is what its writer put in, [revision] that of its last change. */
internal class CollectionItem(val name: String, val revision: StoreRevision, val text: String)

/** A change of a collection; [item] is the object as it is now, or as it was when it was [deleted]. */
internal class CollectionEvent(val item: CollectionItem, val deleted: Boolean)

/** Result of listing a collection. */
internal sealed interface ListedCollection {
    /** All objects as of [revision]. */
    class Items(val items: List<CollectionItem>, val revision: StoreRevision) : ListedCollection

    data class Unavailable(val cause: String) : ListedCollection
}

/** Result of waiting for changes of a collection. */
internal sealed interface WatchedCollection {
    /** Changes up to [revision] in order; none when the wait passed without one. */
    class Events(val events: List<CollectionEvent>, val revision: StoreRevision) : WatchedCollection

    /** The store has forgotten what happened since the revision asked for. */
    data object HistoryGone : WatchedCollection

    data class Unavailable(val cause: String) : WatchedCollection
}

/** Collections of a store whose changes share one revision counter. Every call blocks and is thread-safe. */
internal interface ObjectCollections {
    /** Lists [collection]; with [allowStale] the answer may be seconds old and costs less. */
    fun list(collection: CollectionName, allowStale: Boolean): ListedCollection

    /** Waits until something changed after [since], for at most [timeoutMs]. */
    fun watch(collection: CollectionName, since: StoreRevision, timeoutMs: Long): WatchedCollection

    /** Creates the object or replaces the one of that name, whatever it holds. */
    fun write(collection: CollectionName, name: String, text: String): WriteResult
}
