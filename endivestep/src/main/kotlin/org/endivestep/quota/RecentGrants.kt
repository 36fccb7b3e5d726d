package org.endivestep.quota

/**
 * Tokens granted within the last [TOKEN_VALIDITY_MS].
 *
 * Only these may be given back: a delayed return of older ones would let more run in the window of its arrival than the
 * bucket allows. Not thread-safe.
 */
internal class RecentGrants {
    private class Grant(val atMs: Long, var count: Int)

    private val grants = ArrayDeque<Grant>()

    fun add(count: Int, nowMs: Long) {
        prune(nowMs)
        if (count == 0) return
        val last = grants.lastOrNull()
        if (last != null && last.atMs == nowMs) last.count += count else grants.addLast(Grant(nowMs, count))
    }

    /** Takes up to [count] of the tokens back; returns their number. */
    fun takeBack(count: Int, nowMs: Long): Int {
        prune(nowMs)
        var left = count
        while (left > 0 && grants.isNotEmpty()) {
            val oldest = grants.first()
            val taken = minOf(left, oldest.count)
            oldest.count -= taken
            left -= taken
            if (oldest.count == 0) grants.removeFirst()
        }
        return count - left
    }

    private fun prune(nowMs: Long) {
        while (grants.isNotEmpty() && nowMs - grants.first().atMs > TOKEN_VALIDITY_MS) grants.removeFirst()
    }
}
