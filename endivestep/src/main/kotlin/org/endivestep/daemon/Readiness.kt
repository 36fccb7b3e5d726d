package org.endivestep.daemon

import org.endivestep.configuration.ConfigurationAdoption
import org.endivestep.configuration.ConfigurationWatcher
import org.endivestep.membership.Gossip
import org.endivestep.membership.MemberState
import org.endivestep.settings.DaemonSettings

/** Readiness of a daemon to receive requests. */
internal class Readiness(
    private val settings: DaemonSettings,
    private val adoption: ConfigurationAdoption,
    private val gossip: Gossip,
    private val configurationWatcher: ConfigurationWatcher,
    private val isStopping: () -> Boolean,
) {
    /** Returns the reasons why the daemon is not ready; empty if it is ready. */
    fun blockingReasons(): List<String> =
        listOfNotNull(
            "the daemon is stopping".takeIf { isStopping() },
            "no configuration is in force".takeIf { adoption.active == null },
        )

    /**
     * Returns problems that an operator should know about although the daemon is ready. A daemon that
     * is cut off from its peers and the store keeps serving with its current configuration, because
     * refusing all requests would turn a network partition into an outage.
     */
    fun warnings(): List<String> = listOfNotNull("cut off from peers and from the store".takeIf { isCutOff() })

    private fun isCutOff(): Boolean {
        val peers = gossip.members.any { it.vm != settings.vm && it.state == MemberState.ALIVE }
        val storeAgeMs = System.currentTimeMillis() - configurationWatcher.storeAnsweredMs
        return !peers && storeAgeMs > settings.staleAfterMs
    }
}
