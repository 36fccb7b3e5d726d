package org.endivestep.membership

import org.endivestep.configuration.ConfigurationPosition
import org.endivestep.configuration.DataCentreOverride
import org.endivestep.identity.VmName
import org.endivestep.quarantine.SuspicionEntry
import org.endivestep.settings.Address
import org.endivestep.store.StoreEra

/** Kind of a gossip message. */
internal enum class GossipType { PING, ACK, PING_REQUEST, UPDATE }

/** One datagram between daemons. Messages of every type carry piggybacked updates. */
internal data class GossipMessage(
    val type: GossipType,
    val from: VmName,
    val sequence: Long,
    val target: VmName?,
    val configuration: ConfigurationPosition,
    val storeEra: StoreEra,
    val members: List<MemberInfo>,
    val suspicions: List<SuspicionEntry>,
    val overrides: List<DataCentreOverride>,
    val digest: Long,
)

/** Action requested by the protocol. */
internal sealed interface GossipAction {
    data class Send(val to: Address, val message: GossipMessage) : GossipAction

    /** Exchange full membership tables with [peer], because the digests keep differing or the peer is unknown. */
    data class Synchronize(val peer: Address) : GossipAction

    /** Another daemon knows that the store is in a later era. */
    data class StoreRestored(val era: StoreEra) : GossipAction

    /** [peer] has a newer configuration. */
    data class FetchConfiguration(val peer: Address) : GossipAction

    /** New suspicions received from another daemon. */
    data class Suspicions(val entries: List<SuspicionEntry>) : GossipAction

    /** Received overrides, at least one of which this daemon does not have. */
    data class Overrides(val entries: List<DataCentreOverride>) : GossipAction
}
