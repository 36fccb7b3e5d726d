package org.endivestep.daemon

import org.endivestep.configuration.ConfigurationAdoption
import org.endivestep.configuration.ConfigurationWatcher
import org.endivestep.membership.Gossip
import org.endivestep.membership.MemberState
import org.endivestep.settings.DaemonSettings

/** Whether a daemon should be sent work, and what stands against it. */
internal class Readiness(
    private val settings: DaemonSettings,
    private val adoption: ConfigurationAdoption,
    private val gossip: Gossip,
    private val configurationWatcher: ConfigurationWatcher,
    private val isStopping: () -> Boolean,
) {
    /** Returns what stands against sending work here; empty when the daemon is ready. */
    fun obstacles(): List<String> =
        listOfNotNull(
            "the daemon is stopping".takeIf { isStopping() },
            "no configuration is in force".takeIf { adoption.active == null },
        )

    /**
     * Returns what an operator should know although work goes on. A daemon that is cut off from its
     * peers and the store serves with the configuration it has, because refusing everything would
     * turn a cut into an outage.
     */
    fun warnings(): List<String> = listOfNotNull("cut off from peers and from the store".takeIf { isCutOff() })

    private fun isCutOff(): Boolean {
        val peers = gossip.members.any { it.vm != settings.vm && it.state == MemberState.ALIVE }
        val storeAgeMs = System.currentTimeMillis() - configurationWatcher.storeAnsweredMs
        return !peers && storeAgeMs > settings.staleAfterMs
    }
}
