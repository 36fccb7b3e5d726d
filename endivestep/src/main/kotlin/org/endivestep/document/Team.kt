package org.endivestep.document

import org.endivestep.identity.TeamName

/**
 * A team whose callers identify themselves by one of [keys]. [priority] has precedence over that of a route; null leaves it to the
 * route.
 */
internal class Team(val name: TeamName, val keys: Set<ApiKey>, val priority: Int?, val quota: TeamQuota?)

/** Rate limit of one team over all daemons: [ratePerSecond] requests per second and [burst] requests beyond that. */
internal data class TeamQuota(val ratePerSecond: Double, val burst: Double)

/** A secret by which callers identify themselves. Its text must not be written anywhere. */
@JvmInline
internal value class ApiKey(val secret: String) {
    override fun toString(): String = "ApiKey"
}

/** The teams of a configuration. Without teams, callers need no key. */
internal class TeamTable(val teams: List<Team>) {
    private val byName = teams.associateBy { it.name }
    private val byKey: Map<KeyDigest, Team> = teams.flatMap { team -> team.keys.map { KeyDigest.of(it) to team } }.toMap()

    val isEmpty: Boolean get() = teams.isEmpty()

    fun find(name: TeamName): Team? = byName[name]

    /** Returns the team that has the key with this digest, or null. */
    fun find(key: KeyDigest): Team? = byKey[key]
}
