package org.endivestep.quota

import com.google.common.hash.Hashing
import org.endivestep.document.TeamQuota
import org.endivestep.identity.TeamName
import org.endivestep.identity.VmName

/**
 * Limited teams and members of the fleet as one daemon, [self], sees them; immutable.
 *
 * [known] holds all members that have not left, dead ones too, and [live] those that are not dead.
 */
internal class QuotaView(
    val self: VmName,
    val known: Set<VmName>,
    val live: Set<VmName>,
    val quotas: Map<TeamName, TeamQuota>,
    /** Whether a configuration is known; without one it is not known either which teams are limited. */
    val isConfigured: Boolean = true,
) {
    private val owners: Map<TeamName, List<VmName>> = rankOwners(live, quotas.keys)

    /** Teams of which [self] grants tokens. */
    val owned: Set<TeamName> = owners.filterValues { self in it }.keys

    /** All daemons that grant tokens. */
    val allOwners: Set<VmName> = owners.values.flatten().toSet()

    /** Number of owners of each team. */
    val ownersPerTeam: Int = minOf(OWNERS_PER_TEAM, live.size)

    /** Returns the owners of [team], none where the team has no limit. */
    fun owners(team: TeamName): List<VmName> = owners[team].orEmpty()

    companion object {
        /** The view of a daemon that knows no other one and no limits. */
        fun initial(self: VmName) = QuotaView(self, setOf(self), setOf(self), emptyMap(), isConfigured = false)
    }
}

// Rendezvous hashing: daemons with the same live members compute the same owners, and a change of one member moves only its teams.
private fun rankOwners(live: Set<VmName>, teams: Set<TeamName>): Map<TeamName, List<VmName>> {
    if (teams.isEmpty()) return emptyMap()
    val hashes = live.map { it to hash("vm/${it.text}") }
    return teams.associateWith { team ->
        val teamHash = hash("quota/${team.text}")
        highest(hashes, teamHash)
    }
}

private fun highest(hashes: List<Pair<VmName, Long>>, teamHash: Long): List<VmName> {
    val first = hashes.maxByOrNull { mix(it.second xor teamHash) } ?: return emptyList()
    val second = hashes.filter { it !== first }.maxByOrNull { mix(it.second xor teamHash) }
    return listOfNotNull(first.first, second?.first)
}

private fun hash(text: String): Long = Hashing.murmur3_128().hashString(text, Charsets.UTF_8).asLong()

// Finalizer of MurmurHash3 for 64 bits; cheaper than a hash of the combined text of each pair of team and daemon.
private fun mix(value: Long): Long {
    var mixed = value
    mixed = (mixed xor (mixed ushr 33)) * -0xae502812aa7333L
    mixed = (mixed xor (mixed ushr 33)) * -0x3b314601e57a13adL
    return mixed xor (mixed ushr 33)
}
