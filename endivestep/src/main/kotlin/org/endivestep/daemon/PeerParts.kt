package org.endivestep.daemon

import io.grpc.BindableService
import org.endivestep.configuration.ConfigurationAdoption
import org.endivestep.configuration.Overrides
import org.endivestep.egress.Egress
import org.endivestep.exchange.AttemptRequest
import org.endivestep.ingress.Route
import org.endivestep.membership.Gossip
import org.endivestep.metrics.OutcomeCounters
import org.endivestep.outcome.AttemptResult
import org.endivestep.protocol.AdmissionNotices
import org.endivestep.protocol.ControlClient
import org.endivestep.protocol.ControlServer
import org.endivestep.protocol.ExchangeClient
import org.endivestep.protocol.ExchangeServer
import org.endivestep.protocol.PeerChannels
import org.endivestep.protocol.toInfo
import org.endivestep.settings.Address

/** What a daemon exchanges with its peers: attempts in both directions, members and configurations. */
internal class PeerParts(private val egress: Egress, val channels: PeerChannels, private val pools: DaemonPools) {
    private val exchanges = ExchangeClient(channels, pools.uploads)
    val control = ControlClient(channels)

    /** Runs [request] at the worker of [route], through the daemon beside it unless that is this daemon. */
    fun attempt(route: Route, request: AttemptRequest): AttemptResult =
        if (route.isLocal) egress.run(request) { } else exchanges.attempt(route.peer, request)

    /** Merges the members that [peer] knows into those of [gossip]; has no effect when it does not answer. */
    fun synchronize(gossip: Gossip, peer: Address) {
        val state = control.synchronize(peer, gossip.members, gossip.self) ?: return
        gossip.mergeAll(state.membersList.mapNotNull { it.toInfo() })
    }

    /** Returns the services that peers call. */
    fun services(
        gossip: Gossip,
        adoption: ConfigurationAdoption,
        counters: OutcomeCounters,
        overrides: Overrides,
        notices: AdmissionNotices,
    ): List<BindableService> =
        listOf(
            ExchangeServer(egress, { gossip.self.incarnation }, pools.attemptRunners, notices),
            ControlServer(gossip, adoption, counters, overrides::entries),
        )
}
