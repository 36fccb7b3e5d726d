package org.endivestep.protocol

import io.grpc.stub.StreamObserver
import org.endivestep.configuration.ConfigurationAdoption
import org.endivestep.configuration.ConfigurationPosition
import org.endivestep.configuration.DataCentreOverride
import org.endivestep.configuration.position
import org.endivestep.identity.ConfigurationVersion
import org.endivestep.membership.Gossip
import org.endivestep.metrics.OutcomeCounters
import org.endivestep.protocol.v1.ConfigurationRecord
import org.endivestep.protocol.v1.ConfigurationRequest
import org.endivestep.protocol.v1.ControlGrpc
import org.endivestep.protocol.v1.Counters
import org.endivestep.protocol.v1.CountersRequest
import org.endivestep.protocol.v1.MembershipState
import org.endivestep.protocol.v1.OutcomeCount
import org.endivestep.store.StoreEra
import org.endivestep.store.StoreRevision

/** Serves control calls from other daemons. */
internal class ControlServer(
    private val gossip: Gossip,
    private val adoption: ConfigurationAdoption,
    private val counters: OutcomeCounters,
    private val overrides: () -> List<DataCentreOverride>,
) : ControlGrpc.ControlImplBase() {
    override fun fetchConfiguration(request: ConfigurationRequest, responseObserver: StreamObserver<ConfigurationRecord>) {
        val record = adoption.active?.record
        val revision = StoreRevision(request.knownRevision, StoreEra(request.knownEra))
        val known = ConfigurationPosition(ConfigurationVersion(request.knownVersion), revision)
        val newer = record?.takeIf { it.position > known }
        reply(responseObserver, newer ?: ConfigurationRecord.getDefaultInstance())
    }

    override fun synchronize(request: MembershipState, responseObserver: StreamObserver<MembershipState>) {
        val localState =
            MembershipState
                .newBuilder()
                .setFrom(gossip.self.vm.text)
                .setConfigurationVersion(adoption.version.number)
                .addAllMembers(gossip.members.map { it.toWire() })
        gossip.mergeAll(request.membersList.mapNotNull { it.toInfo() })
        reply(responseObserver, localState.build())
    }

    override fun readCounters(request: CountersRequest, responseObserver: StreamObserver<Counters>) {
        reply(responseObserver, localCounters(gossip, adoption, counters, overrides()))
    }

    private fun <T> reply(responseObserver: StreamObserver<T>, message: T) {
        responseObserver.onNext(message)
        responseObserver.onCompleted()
    }
}

/** Returns this daemon's counters as a protocol message. */
internal fun localCounters(
    gossip: Gossip,
    adoption: ConfigurationAdoption,
    counters: OutcomeCounters,
    overrides: List<DataCentreOverride>,
): Counters {
    val builder = Counters.newBuilder().setVm(gossip.self.vm.text).setDataCentre(gossip.self.dataCentre.text)
    builder.setConfigurationVersion(adoption.version.number)
    builder.addAllOverrides(overrides.map { it.changeId })
    counters.snapshot().forEach { (label, count) ->
        val outcome = if (label.reason.isEmpty()) label.outcome.text else "${label.outcome.text}: ${label.reason}"
        builder.addOutcomes(
            OutcomeCount.newBuilder().setService(label.service).setKind(label.kind).setOutcome(outcome).setCount(count),
        )
    }
    return builder.build()
}
