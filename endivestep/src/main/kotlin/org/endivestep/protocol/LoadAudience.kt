package org.endivestep.protocol

import org.endivestep.choice.isWorthTelling
import org.endivestep.identity.DataCentreName
import org.endivestep.identity.VmName
import org.endivestep.membership.MemberInfo
import org.endivestep.membership.MemberState
import org.endivestep.outcome.Load

/**
 * Decides which daemons are told of a new load of the worker at [vm].
 *
 * Only those that send it requests need to know; others learn it from the first answer or refusal.
 * So the cost of notices does not grow with the fleet. Those in the same data centre are told of small
 * changes, the others, whose bytes cost more, only of large ones and not as often. Times are in ms.
 * Not thread-safe.
 */
internal class LoadAudience(
    private val vm: VmName,
    private val dataCentre: DataCentreName,
    private val members: () -> List<MemberInfo>,
    private val senders: RecentSenders,
) {
    private var toldNear = Load(0, 0)
    private var toldFar = Load(0, 0)
    private var toldFarMs = Long.MIN_VALUE / 2

    /** Whether anybody may have to be told of [load]. */
    @Synchronized
    fun isWorthTelling(load: Load): Boolean = isWorthTelling(toldNear, load, FINE_SHARE)

    /** Returns who is to be told of [load] at [nowMs], and takes them as told. */
    @Synchronized
    fun of(load: Load, nowMs: Long): List<MemberInfo> {
        val near = isWorthTelling(toldNear, load, FINE_SHARE)
        val far = nowMs - toldFarMs >= FAR_PAUSE_MS && isWorthTelling(toldFar, load, COARSE_SHARE)
        if (near) toldNear = load
        if (far) {
            toldFar = load
            toldFarMs = nowMs
        }
        if (!near && !far) return emptyList()
        val hosts = senders.hosts(INTEREST_MS, MOST_TOLD)
        return members().filter { it.vm != vm && it.state == MemberState.ALIVE && it.inner.host in hosts && if (isNear(it)) near else far }
    }

    private fun isNear(member: MemberInfo): Boolean = member.dataCentre == dataCentre

    private companion object {
        const val INTEREST_MS = 10_000L
        const val MOST_TOLD = 24
        const val FAR_PAUSE_MS = 150L
        const val FINE_SHARE = 0.1
        const val COARSE_SHARE = 0.35
    }
}
