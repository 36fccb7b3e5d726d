package org.endivestep.daemon

import org.endivestep.configuration.Overrides
import org.endivestep.membership.Gossip
import org.endivestep.membership.GossipAction
import org.endivestep.settings.Address
import org.endivestep.store.StoreEra

/** Performs the actions that the gossip protocol asks of the other components of a daemon. Does not block. */
internal class GossipActions(
    private val gossip: Gossip,
    private val pools: DaemonPools,
    private val peerParts: PeerParts,
    private val supervisor: WorkerSupervisor,
    private val overrides: Overrides,
    /** Requests the configuration of a peer. */
    private val fetchConfiguration: (Address) -> Unit,
    /** Called with the era of the store that another daemon has observed. */
    private val storeRestored: (StoreEra) -> Unit = {},
) {
    /** Performs [action]; [GossipAction.Send] is not one of those that [Gossip] passes on. */
    fun perform(action: GossipAction) {
        when (action) {
            is GossipAction.Synchronize -> pools.submitControl { peerParts.synchronize(gossip, action.peer) }
            is GossipAction.FetchConfiguration -> fetchConfiguration(action.peer)
            is GossipAction.Suspicions -> supervisor.suspicionsReceived(action.entries)
            is GossipAction.Overrides -> overrides.merge(action.entries)
            is GossipAction.StoreRestored -> storeRestored(action.era)
            is GossipAction.Send -> error("Send actions must be handled by Gossip")
        }
    }
}
