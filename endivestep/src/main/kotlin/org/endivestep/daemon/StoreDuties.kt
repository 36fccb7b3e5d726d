package org.endivestep.daemon

import org.endivestep.configuration.ConfigurationAdoption
import org.endivestep.configuration.ConfigurationPosition
import org.endivestep.configuration.Overrides
import org.endivestep.membership.DaemonDirectory
import org.endivestep.membership.Gossip
import org.endivestep.membership.MemberState
import org.endivestep.membership.SharedTask
import org.endivestep.membership.assignedMembers
import org.endivestep.platform.OperatorObjects
import org.endivestep.settings.Address
import org.endivestep.store.CollectionName
import org.endivestep.store.ObjectCollections
import org.endivestep.store.StoreReturnDetector
import java.util.random.RandomGenerator

/** The parts of a daemon that read and write the platform's store. */
internal class StoreDuties(
    store: ObjectCollections,
    private val gossip: Gossip,
    random: RandomGenerator,
    adoption: ConfigurationAdoption,
    overrides: Overrides,
    synchronize: (Address) -> Unit,
    /** Reads again what else is followed in the store. */
    private val refreshOthers: () -> Unit = {},
) {
    private val directory = DaemonDirectory(store, gossip, random, synchronize)
    private val operator = OperatorObjectsFollower(store, random, adoption, overrides)
    private val storeReturn =
        StoreReturnDetector(store, CollectionName(OperatorObjects.DATA_CENTRES_OUT), ::checksStore, ::refresh)

    /** Whether the store answered the last call for the configuration. */
    val isConnected: Boolean get() = operator.isConnected

    /** See [OperatorObjectsFollower.confirmedPosition]. */
    fun confirmedPosition(): ConfigurationPosition? = operator.confirmedPosition()

    fun start() {
        operator.start()
        storeReturn.start()
        directory.start()
    }

    /** Reads and writes again what a restore of the store may have changed, and tells other daemons. */
    fun restored() {
        refresh()
        directory.registerAgain()
        gossip.pushUpdate()
    }

    private fun refresh() {
        operator.refresh()
        refreshOthers()
    }

    private fun checksStore(): Boolean {
        val self = gossip.self
        val alive = gossip.members.filter { it.state == MemberState.ALIVE && it.dataCentre == self.dataCentre }
        return self.vm in assignedMembers(alive.map { it.vm }, SharedTask.STORE_CHECK, CHECKS_PER_DATA_CENTRE)
    }

    private companion object {
        const val CHECKS_PER_DATA_CENTRE = 1
    }
}
