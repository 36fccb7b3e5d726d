package org.endivestep.daemon

import io.github.oshai.kotlinlogging.KotlinLogging
import org.endivestep.admission.AdmissionQueue
import org.endivestep.configuration.ActiveConfiguration
import org.endivestep.configuration.Overrides
import org.endivestep.identity.DataCentreName
import org.endivestep.membership.Gossip
import org.endivestep.quarantine.Quarantine

private val logger = KotlinLogging.logger {}

/** Puts each configuration and override into force in the parts of this daemon, and tells peers of it. */
internal class ConfigurationApplier(
    private val dataCentre: DataCentreName,
    private val overrides: Overrides,
    private val quarantine: Quarantine,
    private val supervision: WorkerSupervision,
    private val admission: AdmissionQueue,
    private val gossip: Gossip,
) {
    private var servedIn = false

    fun adopted(configuration: ActiveConfiguration) {
        overrides.adopted(configuration)
        synchronized(quarantine) { quarantine.configure(configuration.document.quarantine) }
        supervision.configure(configuration.document)
        followState()
    }

    fun overridden() {
        val wanted = overrides.entries.joinToString { "${it.dataCentre.text} ${it.state.text} by ${it.operator}" }
        logger.info { "overrides in force: $wanted" }
        followState()
    }

    @Synchronized
    private fun followState() {
        val wasOut = !servedIn
        servedIn = overrides.document?.isIn(dataCentre) == true
        // A data centre that returns is cold: its workers had no traffic.
        if (wasOut && servedIn) admission.makeCold()
        gossip.tell()
    }
}
