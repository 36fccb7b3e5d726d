package org.endivestep.protocol

import com.google.protobuf.ByteString
import com.google.protobuf.InvalidProtocolBufferException
import org.endivestep.configuration.ConfigurationPosition
import org.endivestep.identity.ConfigurationVersion
import org.endivestep.identity.DaemonIncarnation
import org.endivestep.identity.DataCentreName
import org.endivestep.identity.Fingerprint
import org.endivestep.identity.ServiceName
import org.endivestep.identity.VmName
import org.endivestep.identity.WorkerIncarnation
import org.endivestep.identity.WorkerRunId
import org.endivestep.identity.WorkerVersion
import org.endivestep.membership.GossipMessage
import org.endivestep.membership.GossipType
import org.endivestep.membership.MemberInfo
import org.endivestep.membership.MemberState
import org.endivestep.membership.WorkerInfo
import org.endivestep.protocol.v1.Gossip
import org.endivestep.protocol.v1.Member
import org.endivestep.protocol.v1.SignedGossip
import org.endivestep.protocol.v1.Suspicion
import org.endivestep.quarantine.SuspicionEntry
import org.endivestep.settings.Address
import org.endivestep.store.StoreEra
import org.endivestep.store.StoreRevision

private val wireTypes =
    mapOf(
        GossipType.PING to Gossip.Type.PING,
        GossipType.ACK to Gossip.Type.ACK,
        GossipType.PING_REQUEST to Gossip.Type.PING_REQUEST,
        GossipType.UPDATE to Gossip.Type.UPDATE,
    )
private val types = wireTypes.entries.associate { it.value to it.key }

private val wireStates =
    mapOf(
        MemberState.ALIVE to Member.State.ALIVE,
        MemberState.SUSPECT to Member.State.SUSPECT,
        MemberState.DEAD to Member.State.DEAD,
        MemberState.LEFT to Member.State.LEFT,
    )
private val states = wireStates.entries.associate { it.value to it.key }

/** Encodes and decodes signed gossip datagrams. */
internal class GossipCodec(private val security: PeerAuthentication) {
    fun encode(message: GossipMessage): ByteArray {
        val payload = message.toWire().toByteArray()
        return SignedGossip
            .newBuilder()
            .setPayload(ByteString.copyFrom(payload))
            .setSignature(ByteString.copyFrom(security.sign(payload)))
            .build()
            .toByteArray()
    }

    /** Returns the message, or null when the datagram is malformed or not signed with the shared secret. */
    fun decode(bytes: ByteArray): GossipMessage? =
        try {
            val signed = SignedGossip.parseFrom(bytes)
            val payload = signed.payload.toByteArray()
            if (security.verify(payload, signed.signature.toByteArray())) Gossip.parseFrom(payload).toMessage() else null
        } catch (_: InvalidProtocolBufferException) {
            null
        }
}

internal fun MemberInfo.toWire(): Member {
    val builder =
        Member
            .newBuilder()
            .setVm(vm.text)
            .setHost(inner.host)
            .setInnerPort(inner.port)
            .setAdminPort(adminPort)
            .setDataCentre(dataCentre.text)
            .setDaemonIncarnation(incarnation.text)
            .setSequence(sequence)
            .setState(wireStates.getValue(state))
    worker?.let {
        builder.setService(it.service.text).setWorkerIncarnation(it.incarnation.text).setWorkerServing(it.serving)
        it.version?.let { version -> builder.setWorkerVersion(version.text) }
    }
    return builder.build()
}

/** Returns the member, or null when this version does not know its state. */
internal fun Member.toInfo(): MemberInfo? {
    val known = states[state] ?: return null
    val version = workerVersion.takeIf { it.isNotEmpty() }?.let(::WorkerVersion)
    val worker = WorkerInfo(ServiceName(service), WorkerIncarnation(workerIncarnation), workerServing, version)
    return MemberInfo(
        vm = VmName(vm),
        inner = Address(host, innerPort),
        adminPort = adminPort,
        dataCentre = DataCentreName(dataCentre),
        incarnation = DaemonIncarnation(daemonIncarnation),
        sequence = sequence,
        state = known,
        worker = worker.takeIf { service.isNotEmpty() },
    )
}

private fun GossipMessage.toWire(): Gossip {
    val builder =
        Gossip
            .newBuilder()
            .setType(wireTypes.getValue(type))
            .setFrom(from.text)
            .setSequence(sequence)
            .setConfigurationVersion(configuration.version.number)
            .setConfigurationEra(configuration.revision.era.number)
            .setConfigurationRevision(configuration.revision.number)
            .setStoreEra(storeEra.number)
            .setDigest(digest)
            .addAllMembers(members.map { it.toWire() })
            .addAllSuspicions(suspicions.map { it.toWire() })
            .addAllOverrides(overrides.map { it.toWire() })
    target?.let { builder.setTarget(it.text) }
    return builder.build()
}

private fun Gossip.toMessage(): GossipMessage? {
    val known = types[type] ?: return null
    return GossipMessage(
        type = known,
        from = VmName(from),
        sequence = sequence,
        target = VmName(target).takeIf { target.isNotEmpty() },
        configuration =
        ConfigurationPosition(
            ConfigurationVersion(configurationVersion),
            StoreRevision(configurationRevision, StoreEra(configurationEra)),
        ),
        storeEra = StoreEra(storeEra),
        members = membersList.mapNotNull { it.toInfo() },
        suspicions = suspicionsList.map { it.toEntry() },
        overrides = overridesList.mapNotNull { it.toOverride() },
        digest = digest,
    )
}

private fun SuspicionEntry.toWire(): Suspicion =
    Suspicion
        .newBuilder()
        .setFingerprint(fingerprint.text)
        .addAllDeaths(deaths.map { it.text })
        .setRemainingMs(remainingMs)
        .setLone(lone)
        .build()

private fun Suspicion.toEntry() =
    SuspicionEntry(Fingerprint(fingerprint), deathsList.map(::WorkerRunId).toSet(), remainingMs, lone)
