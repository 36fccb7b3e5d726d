package org.endivestep.daemon

import io.github.oshai.kotlinlogging.KotlinLogging
import org.endivestep.admission.AdmissionQueue
import org.endivestep.configuration.ActiveConfiguration
import org.endivestep.configuration.Overrides
import org.endivestep.identity.DataCentreName
import org.endivestep.membership.Gossip
import org.endivestep.quarantine.Quarantine

private val logger = KotlinLogging.logger {}

/** Applies each configuration and override to the components of this daemon, and notifies peers. */
internal class ConfigurationApplier(
    private val dataCentre: DataCentreName,
    private val overrides: Overrides,
    private val quarantine: Quarantine,
    private val supervisor: WorkerSupervisor,
    private val admission: AdmissionQueue,
    private val gossip: Gossip,
) {
    private var inService: Boolean? = null

    fun adopted(configuration: ActiveConfiguration) {
        synchronized(quarantine) { quarantine.configure(configuration.document.quarantine) }
        // The limits come first: from the next step on, requests are served by the new document.
        supervisor.configure(configuration.document)
        overrides.adopted(configuration)
        applyState()
    }

    fun overridden() {
        val entries = overrides.entries.joinToString { "${it.dataCentre.text} ${it.state.text} by ${it.operator}" }
        logger.info { "overrides in force: $entries" }
        applyState()
    }

    @Synchronized
    private fun applyState() {
        val before = inService
        inService = overrides.document?.isIn(dataCentre) == true
        // The workers of a data centre that returns to service are cold, because they had no traffic.
        if (before != true && inService == true) admission.makeCold()
        if (before == false && inService == true) supervisor.assumeCold()
        gossip.pushUpdate()
    }
}
