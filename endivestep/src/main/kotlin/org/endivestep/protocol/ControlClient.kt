package org.endivestep.protocol

import io.grpc.StatusRuntimeException
import org.endivestep.configuration.ConfigurationPosition
import org.endivestep.configuration.position
import org.endivestep.membership.MemberInfo
import org.endivestep.protocol.v1.ConfigurationRecord
import org.endivestep.protocol.v1.ConfigurationRequest
import org.endivestep.protocol.v1.ControlGrpc
import org.endivestep.protocol.v1.Counters
import org.endivestep.protocol.v1.CountersRequest
import org.endivestep.protocol.v1.MembershipState
import org.endivestep.settings.Address
import java.util.concurrent.TimeUnit

/** Client for control calls to other daemons. Every call blocks, and returns null when the call fails or times out. */
internal class ControlClient(private val channels: PeerChannels) {
    /** Returns the peer's configuration, or null when it has none newer than [known]. */
    fun fetchConfiguration(peer: Address, known: ConfigurationPosition): ConfigurationRecord? {
        val request =
            ConfigurationRequest
                .newBuilder()
                .setKnownVersion(known.version.number)
                .setKnownEra(known.revision.era.number)
                .setKnownRevision(known.revision.number)
        return call(peer) { it.fetchConfiguration(request.build()) }?.takeIf { it.position > known }
    }

    /** Sends the membership table to [peer] and returns the peer's table. */
    fun synchronize(peer: Address, members: Collection<MemberInfo>, self: MemberInfo): MembershipState? {
        val state = MembershipState.newBuilder().setFrom(self.vm.text).addAllMembers(members.map { it.toWire() })
        return call(peer) { it.synchronize(state.build()) }
    }

    fun readCounters(peer: Address): Counters? = call(peer) { it.readCounters(CountersRequest.getDefaultInstance()) }

    private fun <T> call(peer: Address, use: (ControlGrpc.ControlBlockingStub) -> T): T? {
        val stub = ControlGrpc.newBlockingStub(channels.next(peer)).withCompression("gzip")
        return try {
            use(stub.withDeadlineAfter(TIMEOUT_MS, TimeUnit.MILLISECONDS))
        } catch (_: StatusRuntimeException) {
            null
        }
    }

    private companion object {
        const val TIMEOUT_MS = 2_000L
    }
}
