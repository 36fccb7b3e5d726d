package org.endivestep.store

/** Number of times that the store was restored from a copy; revisions are given out again in each era. */
@JvmInline
internal value class StoreEra(val number: Long) : Comparable<StoreEra> {
    override fun compareTo(other: StoreEra): Int = number.compareTo(other.number)
}

/** Era of a store that was never restored. */
internal val firstStoreEra = StoreEra(0)
