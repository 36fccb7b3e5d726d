package org.endivestep.protocol

import com.google.protobuf.ByteString
import com.google.protobuf.InvalidProtocolBufferException
import org.endivestep.identity.DaemonIncarnation
import org.endivestep.identity.TeamName
import org.endivestep.identity.VmName
import org.endivestep.protocol.v1.QuotaDemand
import org.endivestep.protocol.v1.QuotaGrant
import org.endivestep.protocol.v1.QuotaReply
import org.endivestep.protocol.v1.QuotaRequest
import org.endivestep.protocol.v1.SignedGossip
import org.endivestep.quota.TokenDemand
import org.endivestep.quota.TokenGrant
import org.endivestep.quota.TokenReply
import org.endivestep.quota.TokenRequest

/** A datagram of the quota service. */
internal sealed interface QuotaDatagram {
    class Request(val request: TokenRequest) : QuotaDatagram

    class Reply(val reply: TokenReply) : QuotaDatagram
}

/** Encodes and decodes signed datagrams of the quota service. */
internal class QuotaCodec(private val security: PeerAuthentication) {
    fun encode(request: TokenRequest): ByteArray = signed(REQUEST, request.toWire().toByteArray())

    fun encode(reply: TokenReply): ByteArray = signed(REPLY, reply.toWire().toByteArray())

    /** Returns the datagram, or null when it is malformed or not signed with the shared secret. */
    fun decode(bytes: ByteArray): QuotaDatagram? =
        try {
            val envelope = SignedGossip.parseFrom(bytes)
            val content = envelope.payload.toByteArray()
            if (security.verify(content, envelope.signature.toByteArray())) parse(content) else null
        } catch (_: InvalidProtocolBufferException) {
            null
        }

    // The first bytes tell a request from a reply, and both from a gossip datagram with the same signature.
    private fun parse(content: ByteArray): QuotaDatagram? {
        val payload = ByteString.copyFrom(content)
        return when {
            payload.startsWith(REQUEST) -> QuotaDatagram.Request(QuotaRequest.parseFrom(payload.substring(REQUEST.size())).toRequest())
            payload.startsWith(REPLY) -> QuotaDatagram.Reply(QuotaReply.parseFrom(payload.substring(REPLY.size())).toReply())
            else -> null
        }
    }

    private fun signed(purpose: ByteString, payload: ByteArray): ByteArray {
        val content = purpose.concat(ByteString.copyFrom(payload))
        val signature = ByteString.copyFrom(security.sign(content.toByteArray()))
        return SignedGossip.newBuilder().setPayload(content).setSignature(signature).build().toByteArray()
    }

    private companion object {
        val REQUEST: ByteString = ByteString.copyFromUtf8("quota request 1\n")
        val REPLY: ByteString = ByteString.copyFromUtf8("quota reply 1\n")
    }
}

private fun TokenRequest.toWire(): QuotaRequest =
    QuotaRequest
        .newBuilder()
        .setVm(sender.text)
        .setDaemonIncarnation(run.text)
        .setSequence(sequence)
        .addAllDemands(demands.map { it.toWire() })
        .build()

private fun TokenDemand.toWire(): QuotaDemand =
    QuotaDemand
        .newBuilder()
        .setTeam(team.text)
        .setWanted(wanted)
        .setReturned(returned)
        .build()

private fun TokenReply.toWire(): QuotaReply =
    QuotaReply
        .newBuilder()
        .setSequence(sequence)
        .setOwner(isGranting)
        .addAllGrants(grants.map { it.toWire() })
        .build()

private fun TokenGrant.toWire(): QuotaGrant =
    QuotaGrant
        .newBuilder()
        .setTeam(team.text)
        .setGranted(granted)
        .setNextTokenMs(nextTokenMs)
        .build()

private fun QuotaRequest.toRequest() =
    TokenRequest(
        VmName(vm),
        DaemonIncarnation(daemonIncarnation),
        sequence,
        demandsList.map { TokenDemand(TeamName(it.team), it.wanted, it.returned) },
    )

private fun QuotaReply.toReply() =
    TokenReply(sequence, owner, grantsList.map { TokenGrant(TeamName(it.team), it.granted.coerceAtLeast(0), it.nextTokenMs) })
