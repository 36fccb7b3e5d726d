package org.endivestep.freshness

import org.endivestep.configuration.ConfigurationPosition
import org.endivestep.settings.Address

/** A question by which a daemon confirms that it holds the latest configuration. */
internal sealed interface FreshnessQuestion {
    data object ToStore : FreshnessQuestion

    data class ToPeer(val peer: Address, val sequence: Long) : FreshnessQuestion
}

/**
 * What a daemon tells another one: [ageMs] ago no configuration later than [position] was in force. [ageMs] is null when the
 * daemon has no proof.
 */
internal data class FreshnessAnswer(val ageMs: Long?, val position: ConfigurationPosition)

/**
 * The daemons that may be asked, without the asking one: the [readers] of its data centre, which ask the store for the others,
 * and [all]. [isReader] tells whether the asking daemon is a reader itself.
 */
internal class FreshnessPeers(val isReader: Boolean, val readers: List<Address>, val all: List<Address>)
