package org.endivestep.membership

import org.endivestep.identity.VmName

/**
 * Entries of all daemons known to one daemon, including itself.
 *
 * An entry is replaced only by one that supersedes it, see [MemberInfo.supersedes]. An entry that marks this daemon
 * as suspect or dead is refuted with a higher sequence. A pure state machine. Not thread-safe.
 */
internal class MembershipTable(self: MemberInfo) {
    private val entries = LinkedHashMap<VmName, MemberInfo>()
    private val changedMs = HashMap<VmName, Long>()

    var self: MemberInfo = self
        private set

    /** Wrapping sum over all entries; equal tables have equal digests. */
    var digest: Long = self.digest()
        private set

    /** Number of changes of the table so far. */
    var changes = 0L
        private set

    init {
        entries[self.vm] = self
    }

    val members: Collection<MemberInfo> get() = entries.values

    fun find(vm: VmName): MemberInfo? = entries[vm]

    /** Applies [change] to this daemon's own entry and increments its sequence. */
    fun updateSelf(change: (MemberInfo) -> MemberInfo): MemberInfo {
        val next = change(self).copy(sequence = self.sequence + 1)
        self = next
        put(next, 0)
        return next
    }

    /** Merges [info]; returns the entry to disseminate, or null when nothing changed. */
    fun merge(info: MemberInfo, nowMs: Long): MemberInfo? {
        if (info.vm == self.vm) return refute(info)
        val known = entries[info.vm]
        if (known != null && !info.supersedes(known)) return null
        put(info, nowMs)
        return info
    }

    /** Returns the entries that have been in [state] for at least [ageMs]. */
    fun olderThan(state: MemberState, ageMs: Long, nowMs: Long): List<MemberInfo> =
        entries.values.filter { it.state == state && it.vm != self.vm && nowMs - (changedMs[it.vm] ?: 0) >= ageMs }

    fun remove(vm: VmName) {
        val removed = entries.remove(vm) ?: return
        changedMs.remove(vm)
        digest -= removed.digest()
        changes++
    }

    private fun put(info: MemberInfo, nowMs: Long) {
        val before = entries.put(info.vm, info)
        if (before != null) digest -= before.digest()
        digest += info.digest()
        changes++
        if (before?.state != info.state || before.incarnation != info.incarnation) changedMs[info.vm] = nowMs
    }

    // An entry of an earlier run, or a false suspicion, is refuted by a newer entry of this daemon.
    private fun refute(info: MemberInfo): MemberInfo? {
        if (!info.supersedes(self)) return null
        val incarnation =
            if (info.incarnation == self.incarnation) {
                self.incarnation
            } else {
                newDaemonIncarnation(info.generation + 1, self.incarnation.runId)
            }
        self = self.copy(incarnation = incarnation, sequence = maxOf(self.sequence, info.sequence))
        return updateSelf { it }
    }
}
