package org.endivestep.membership

import org.endivestep.identity.DaemonIncarnation
import org.endivestep.identity.DataCentreName
import org.endivestep.identity.ServiceName
import org.endivestep.identity.VmName
import org.endivestep.identity.WorkerIncarnation
import org.endivestep.settings.Address

/** Liveness of a daemon as others see it; a later state wins over an earlier one of the same sequence. */
internal enum class MemberState { ALIVE, SUSPECT, DEAD, LEFT }

/** The worker beside a daemon, as it announced itself. */
internal data class WorkerInfo(val service: ServiceName, val incarnation: WorkerIncarnation, val serving: Boolean)

/**
 * One daemon and its worker.
 *
 * [generation] grows with each run of the daemon, [sequence] with each statement it makes of
 * itself within a run; together they order what is said of it.
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

    /** Whether this is newer knowledge of the member than [other]. */
    fun supersedes(other: MemberInfo): Boolean = order.compare(this, other) > 0

    /** Contribution of this entry to the digest of a table. */
    fun digest(): Long = (vm.text.hashCode() * 31L + incarnation.text.hashCode()) * MIX + sequence * 8 + state.ordinal

    private companion object {
        const val MIX = -7046029254386353131L
        val order: Comparator<MemberInfo> =
            compareBy<MemberInfo> { it.generation }
                .thenBy { it.incarnation.text }
                .thenBy { it.sequence }
                .thenBy { it.state }
    }
}

/** Grows with each run of a daemon: the time of its start in ms, or more where its clock went back. */
internal val DaemonIncarnation.generation: Long get() = text.substringBefore('-').toLongOrNull() ?: 0

/** Differs between runs of a daemon, and stays when a run has to raise its [generation]. */
internal val DaemonIncarnation.runId: String get() = text.substringAfter('-')

/** Makes the identity of a daemon's run that began at [startMs]. */
internal fun newDaemonIncarnation(startMs: Long, random: String): DaemonIncarnation = DaemonIncarnation("$startMs-$random")
