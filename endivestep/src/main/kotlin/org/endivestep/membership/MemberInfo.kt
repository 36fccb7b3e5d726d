package org.endivestep.membership

import org.endivestep.identity.DaemonIncarnation
import org.endivestep.identity.DataCentreName
import org.endivestep.identity.ServiceName
import org.endivestep.identity.VmName
import org.endivestep.identity.WorkerIncarnation
import org.endivestep.identity.WorkerVersion
import org.endivestep.settings.Address

/** Liveness of a daemon as seen by others. For the same sequence, a later constant supersedes an earlier one. */
internal enum class MemberState { ALIVE, SUSPECT, DEAD, LEFT }

/** The local worker of a daemon, as announced by the worker. [version] is null until the worker has reported it. */
internal data class WorkerInfo(
    val service: ServiceName,
    val incarnation: WorkerIncarnation,
    val serving: Boolean,
    val version: WorkerVersion? = null,
)

/**
 * One daemon and its worker.
 *
 * [generation] grows with each run of the daemon, and [sequence] with each change that the daemon makes to its own
 * entry within a run; together they order the entries of a daemon.
 */
internal data class MemberInfo(
    val vm: VmName,
    val inner: Address,
    val adminPort: Int,
    val dataCentre: DataCentreName,
    val incarnation: DaemonIncarnation,
    val sequence: Long,
    val state: MemberState,
    val worker: WorkerInfo?,
) {
    val generation: Long get() = incarnation.generation

    /** Whether this entry is newer than [other], an entry of the same daemon. */
    fun supersedes(other: MemberInfo): Boolean = order.compare(this, other) > 0

    /** Contribution of this entry to the digest of a table. */
    fun digest(): Long = (vm.text.hashCode() * 31L + incarnation.text.hashCode()) * DIGEST_MULTIPLIER + sequence * 8 + state.ordinal

    private companion object {
        const val DIGEST_MULTIPLIER = -7046029254386353131L
        val order: Comparator<MemberInfo> =
            compareBy<MemberInfo> { it.generation }
                .thenBy { it.incarnation.text }
                .thenBy { it.sequence }
                .thenBy { it.state }
    }
}

/** Grows with each run of a daemon: its start time in ms, or a greater number when the clock was set back. */
internal val DaemonIncarnation.generation: Long get() = text.substringBefore('-').toLongOrNull() ?: 0

/** Identifies one run of a daemon; unchanged when the run has to raise its [generation]. */
internal val DaemonIncarnation.runId: String get() = text.substringAfter('-')

/** Returns the incarnation of a daemon's run that started at [startMs]. */
internal fun newDaemonIncarnation(startMs: Long, random: String): DaemonIncarnation = DaemonIncarnation("$startMs-$random")
