package org.endivestep.ingress

import org.endivestep.choice.Candidate
import org.endivestep.document.Document
import org.endivestep.identity.ServiceName
import org.endivestep.identity.VmName
import org.endivestep.identity.WorkerVersion
import org.endivestep.membership.MemberInfo
import org.endivestep.membership.MemberState
import org.endivestep.protocol.Peer

/** A worker that requests can be sent to, and the daemon that admits them. [version] is null while it is not known. */
internal data class Route(val candidate: Candidate, val peer: Peer, val isLocal: Boolean, val version: WorkerVersion? = null)

/**
 * Returns the workers of [service] that may receive new requests, according to this daemon's membership view.
 *
 * Workers of suspect daemons are returned only when no daemon with a serving worker is alive.
 */
internal fun routes(members: Collection<MemberInfo>, document: Document, service: ServiceName, self: VmName): List<Route> {
    val serving = members.filter { it.worker?.service == service && it.worker.serving && document.isIn(it.dataCentre) }
    val alive = serving.filter { it.state == MemberState.ALIVE }
    val usable = alive.ifEmpty { serving.filter { it.state == MemberState.SUSPECT } }
    return usable.map { it.toRoute(document, self) }
}

private fun MemberInfo.toRoute(document: Document, self: VmName): Route {
    val region = document.dataCentres[dataCentre]?.region.orEmpty()
    return Route(Candidate(vm, dataCentre, region), Peer(inner, incarnation), vm == self, worker?.version)
}
