package org.endivestep.membership

import com.google.common.hash.Hashing
import org.endivestep.identity.ServiceName
import org.endivestep.identity.VmName

/** Task that a few members of a data centre perform for the whole data centre. */
internal enum class SharedTask { CONFIGURATION_WATCH, RENDEZVOUS, STORE_CHECK, FRESHNESS }

/**
 * Returns the [count] members of [vms] that are assigned [task] by rendezvous hashing: all daemons with the same
 * members compute the same assignment, and a change of one member moves at most that member's share.
 */
internal fun assignedMembers(vms: Collection<VmName>, task: SharedTask, count: Int): List<VmName> =
    vms.sortedByDescending { score(it, task) }.take(count)

/** Returns the [count] members of [vms] that are assigned the roll-outs of [service] by rendezvous hashing, in order of rank. */
internal fun rolloutDeciders(vms: Collection<VmName>, service: ServiceName, count: Int): List<VmName> =
    vms.sortedByDescending { score(it, "roll-out/${service.text}") }.take(count)

private fun score(vm: VmName, task: SharedTask): Long = score(vm, task.name)

private fun score(vm: VmName, task: String): Long =
    Hashing.murmur3_128().hashString("$task/${vm.text}", Charsets.UTF_8).asLong()
