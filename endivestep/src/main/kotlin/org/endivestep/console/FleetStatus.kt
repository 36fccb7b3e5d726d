package org.endivestep.console

import org.endivestep.identity.ConfigurationVersion
import org.endivestep.membership.MemberInfo
import org.endivestep.membership.MemberState
import org.endivestep.protocol.v1.Counters
import org.endivestep.settings.Address
import java.util.concurrent.Callable
import java.util.concurrent.Executors

/** Reads the counters of the daemon at an address; returns null when it does not answer. */
internal typealias CountersReader = (Address) -> Counters?

/** Number of requests with one outcome, summed over the daemons that answered. */
internal data class OutcomeRow(val dataCentre: String, val service: String, val kind: String, val outcome: String, val count: Long)

/** Number of data centres in which a configuration or an override is in force, out of [total]. */
internal data class InForce(val dataCentres: Int, val total: Int)

/** Queries the daemons of the fleet for their counters and for the configuration in force. */
internal class FleetStatus(private val members: () -> List<MemberInfo>, private val read: CountersReader) {
    private val readers = Executors.newFixedThreadPool(READER_THREADS) { Thread(it, "fleet-status").apply { isDaemon = true } }

    /** Returns the counters of all daemons whose membership state is alive and that answer. */
    fun counters(): List<Counters> = readAll(alive())

    /** Sums the outcomes of [counters] by data centre, service, kind and outcome. */
    fun rows(counters: List<Counters>): List<OutcomeRow> =
        counters
            .flatMap { daemon -> daemon.outcomesList.map { daemon.dataCentre to it } }
            .groupBy({ (centre, count) -> OutcomeRow(centre, count.service, count.kind, count.outcome, 0) }, { it.second.count })
            .map { (row, counts) -> row.copy(count = counts.sum()) }
            .sortedWith(compareBy({ it.service }, { it.kind }, { it.outcome }, { it.dataCentre }))

    /** Queries a sample of the daemons in each data centre for whether [version] is in force there. */
    fun inForce(version: ConfigurationVersion): InForce = countDataCentres { it.configurationVersion >= version.number }

    /** Queries a sample of the daemons in each data centre for whether the override [changeId] is in force there. */
    fun overrideInForce(changeId: String): InForce = countDataCentres { changeId in it.overridesList }

    private fun countDataCentres(isInForce: (Counters) -> Boolean): InForce {
        val byCentre = alive().groupBy { it.dataCentre }
        val sampled = readAll(byCentre.values.flatMap { it.shuffled().take(SAMPLED_PER_DATA_CENTRE) })
        val inForce = sampled.groupBy { it.dataCentre }.values.count { daemons -> daemons.all(isInForce) }
        return InForce(inForce, byCentre.size)
    }

    fun stop() {
        readers.shutdownNow()
    }

    private fun alive(): List<MemberInfo> = members().filter { it.state == MemberState.ALIVE }

    private fun readAll(daemons: List<MemberInfo>): List<Counters> {
        val calls = daemons.map { Callable { read(it.inner) } }
        return readers.invokeAll(calls).mapNotNull { it.get() }
    }

    private companion object {
        const val READER_THREADS = 8
        const val SAMPLED_PER_DATA_CENTRE = 2
    }
}
