package org.endivestep.protocol

import org.endivestep.choice.isSignificantChange
import org.endivestep.identity.DataCentreName
import org.endivestep.identity.VmName
import org.endivestep.membership.MemberInfo
import org.endivestep.membership.MemberState
import org.endivestep.outcome.Load

/**
 * Selects the daemons that are notified of a new load of the worker at [vm].
 *
 * Only daemons that recently sent attempts to the worker are notified; others learn the load from their first
 * answer or refusal, so the cost of notices does not grow with the fleet. Daemons in the same data centre are
 * notified of small changes. Daemons in other data centres, where traffic costs more, are notified only of large
 * changes and at a lower rate. Times are in ms. Not thread-safe.
 */
internal class LoadNoticeRecipients(
    private val vm: VmName,
    private val dataCentre: DataCentreName,
    private val members: () -> List<MemberInfo>,
    private val senders: RecentSenders,
) {
    private var lastLocalLoad = Load(0, 0)
    private var lastRemoteLoad = Load(0, 0)
    private var lastRemoteNoticeMs = Long.MIN_VALUE / 2

    /** Whether [load] differs enough from the last notice that a daemon may have to be notified. */
    @Synchronized
    fun hasSignificantChange(load: Load): Boolean = isSignificantChange(lastLocalLoad, load, LOCAL_CHANGE_SHARE)

    /** Returns the daemons to notify of [load] at [nowMs], and records them as notified. */
    @Synchronized
    fun select(load: Load, nowMs: Long): List<MemberInfo> {
        val notifiesLocal = isSignificantChange(lastLocalLoad, load, LOCAL_CHANGE_SHARE)
        val notifiesRemote =
            nowMs - lastRemoteNoticeMs >= REMOTE_INTERVAL_MS && isSignificantChange(lastRemoteLoad, load, REMOTE_CHANGE_SHARE)
        if (notifiesLocal) lastLocalLoad = load
        if (notifiesRemote) {
            lastRemoteLoad = load
            lastRemoteNoticeMs = nowMs
        }
        if (!notifiesLocal && !notifiesRemote) return emptyList()
        val hosts = senders.hosts(RECENT_SENDER_MS, MAX_RECIPIENTS)
        return members().filter {
            it.vm != vm && it.state == MemberState.ALIVE && it.inner.host in hosts && if (isLocal(it)) notifiesLocal else notifiesRemote
        }
    }

    private fun isLocal(member: MemberInfo): Boolean = member.dataCentre == dataCentre

    private companion object {
        const val RECENT_SENDER_MS = 10_000L
        const val MAX_RECIPIENTS = 24
        const val REMOTE_INTERVAL_MS = 150L
        const val LOCAL_CHANGE_SHARE = 0.1
        const val REMOTE_CHANGE_SHARE = 0.35
    }
}
