package org.endivestep.daemon

import org.endivestep.identity.ServiceName
import org.endivestep.identity.VmName
import org.endivestep.membership.MemberInfo
import org.endivestep.membership.MemberState
import org.endivestep.membership.rolloutDeciders
import java.util.concurrent.ConcurrentHashMap

/** The daemons that decide the roll-out of each service, computed again only when [members] are replaced. Thread-safe. */
internal class DeciderAssignment(private val members: () -> List<MemberInfo>) {
    private class Snapshot(val members: List<MemberInfo>) {
        val alive: Map<VmName, MemberInfo> = members.filter { it.state == MemberState.ALIVE }.associateBy { it.vm }
        val byService = ConcurrentHashMap<ServiceName, List<MemberInfo>>()
    }

    @Volatile
    private var latest: Snapshot? = null

    /** Returns the deciders of [service], the first in rank first. */
    fun deciders(service: ServiceName): List<MemberInfo> {
        val snapshot = snapshot(members())
        return snapshot.byService.computeIfAbsent(service) {
            rolloutDeciders(snapshot.alive.keys, it, DECIDERS_PER_SERVICE).map(snapshot.alive::getValue)
        }
    }

    private fun snapshot(members: List<MemberInfo>): Snapshot {
        val known = latest
        if (known != null && known.members === members) return known
        return Snapshot(members).also { latest = it }
    }

    private companion object {
        const val DECIDERS_PER_SERVICE = 2
    }
}
