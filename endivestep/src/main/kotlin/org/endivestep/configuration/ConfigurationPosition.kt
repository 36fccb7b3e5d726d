package org.endivestep.configuration

import org.endivestep.identity.ConfigurationVersion
import org.endivestep.identity.noConfiguration
import org.endivestep.protocol.v1.ConfigurationRecord
import org.endivestep.store.StoreEra
import org.endivestep.store.StoreRevision

/**
 * Order of configurations: by version, and for the same version by the revision of the store.
 *
 * A store that was restored from a copy may give out a version again with another content; the later one is in force.
 * [revision] is 0 where versions are never given out twice.
 */
internal data class ConfigurationPosition(val version: ConfigurationVersion, val revision: StoreRevision = StoreRevision(0)) :
    Comparable<ConfigurationPosition> {
    override fun compareTo(other: ConfigurationPosition): Int = compareValuesBy(this, other, { it.version }, { it.revision })
}

/** Position of a daemon that has no configuration. */
internal val noPosition = ConfigurationPosition(noConfiguration)

internal val ConfigurationRecord.position: ConfigurationPosition
    get() = ConfigurationPosition(ConfigurationVersion(version), StoreRevision(storeRevision, StoreEra(storeEra)))
