package org.endivestep.membership

import org.endivestep.identity.VmName
import kotlin.math.ceil
import kotlin.math.ln

/**
 * Membership updates that are still to be disseminated. Each is sent a bounded number of times that grows with the
 * logarithm of the number of members; the least sent are sent first. Not thread-safe.
 */
internal class Dissemination {
    private class Item(val info: MemberInfo, var sent: Int)

    private val items = LinkedHashMap<VmName, Item>()

    val isEmpty: Boolean get() = items.isEmpty()

    fun add(info: MemberInfo) {
        items[info.vm] = Item(info, 0)
    }

    /** Returns up to [max] updates to piggyback on one message, for a table of [memberCount] members. */
    fun take(max: Int, memberCount: Int): List<MemberInfo> {
        val chosen = items.values.sortedBy { it.sent }.take(max)
        val limit = transmissionLimit(memberCount)
        chosen.forEach { item ->
            item.sent++
            if (item.sent >= limit) items.remove(item.info.vm)
        }
        return chosen.map { it.info }
    }

    private fun transmissionLimit(memberCount: Int): Int = ceil(TRANSMISSION_FACTOR * ln(memberCount + 1.0) / ln(2.0)).toInt()

    private companion object {
        const val TRANSMISSION_FACTOR = 3.0
    }
}
