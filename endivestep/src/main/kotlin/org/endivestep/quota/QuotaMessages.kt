package org.endivestep.quota

import org.endivestep.identity.DaemonIncarnation
import org.endivestep.identity.TeamName
import org.endivestep.identity.VmName

/** Tokens that a daemon asks an owner for, and those of earlier grants that it gives back unused. */
internal data class TokenDemand(val team: TeamName, val wanted: Int, val returned: Int)

/** A request for tokens; one without demands only shows that [sender] reaches the owner. [sequence] grows within a [run] of the sender. */
internal data class TokenRequest(val sender: VmName, val run: DaemonIncarnation, val sequence: Long, val demands: List<TokenDemand>)

/** Tokens granted to a team. [nextTokenMs] is the time until the next one, 0 when all tokens asked for were granted. */
internal data class TokenGrant(val team: TeamName, val granted: Int, val nextTokenMs: Long)

/**
 * Reply to the request with the same [sequence]. [isGranting] tells whether the owner grants tokens at present. A team that was asked
 * for and is not in [grants] is not granted by this owner at present: it belongs to other owners, or was owned for too short a time.
 */
internal data class TokenReply(val sequence: Long, val isGranting: Boolean, val grants: List<TokenGrant>)
