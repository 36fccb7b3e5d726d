package org.endivestep.ingress

import org.endivestep.document.Document
import org.endivestep.identity.ServiceName
import org.endivestep.identity.VmName
import org.endivestep.membership.MemberInfo
import java.util.concurrent.ConcurrentHashMap

/**
 * Routes of each service, computed again only when the members or the document are replaced: both are immutable,
 * and change far less often than requests arrive. Thread-safe.
 */
internal class RouteCache(private val members: () -> List<MemberInfo>, private val document: () -> Document?, private val self: VmName) {
    private class Snapshot(val members: List<MemberInfo>, val document: Document) {
        val byService = ConcurrentHashMap<ServiceName, List<Route>>()
    }

    @Volatile
    private var latest: Snapshot? = null

    /** Returns the workers of [service] that may receive new requests; empty before the first document. */
    fun routes(service: ServiceName): List<Route> {
        val current = document() ?: return emptyList()
        val snapshot = snapshot(members(), current)
        return snapshot.byService.computeIfAbsent(service) { routes(snapshot.members, snapshot.document, it, self) }
    }

    private fun snapshot(members: List<MemberInfo>, document: Document): Snapshot {
        val known = latest
        if (known != null && known.members === members && known.document === document) return known
        return Snapshot(members, document).also { latest = it }
    }
}
