package org.endivestep.protocol

import com.google.protobuf.UnsafeByteOperations
import org.endivestep.exchange.AttemptRequest
import org.endivestep.exchange.RequestBody
import org.endivestep.identity.DaemonIncarnation
import org.endivestep.outcome.AttemptResult
import org.endivestep.outcome.HeaderField
import org.endivestep.outcome.Load
import org.endivestep.protocol.v1.Header
import org.endivestep.protocol.v1.LoadReport
import org.endivestep.protocol.v1.NotRun
import org.endivestep.protocol.v1.RequestHead
import org.endivestep.protocol.v1.Unknown

internal fun Load.toWire(): LoadReport =
    LoadReport
        .newBuilder()
        .setInFlight(inFlight)
        .setLimit(limit)
        .setWaiting(waiting)
        .setSlownessPercent(slownessPercent)
        .build()

/** Returns the load, or null when the sender did not report one. */
internal fun LoadReport.toLoad(): Load? = if (limit == 0) null else Load(inFlight, limit, waiting, slownessPercent)

internal fun List<HeaderField>.toWire(): List<Header> = map { Header.newBuilder().setName(it.name).setValue(it.value).build() }

internal fun List<Header>.toFields(): List<HeaderField> = map { HeaderField(it.name, it.value) }

/** Returns the head of this attempt for the daemon [incarnation], whose clock is [peerClock]. */
internal fun AttemptRequest.toHead(incarnation: DaemonIncarnation, peerClock: PeerClock, nowMs: Long): RequestHead {
    val builder =
        RequestHead
            .newBuilder()
            .setRequestId(requestId.text)
            .setAttemptId(attemptId.text)
            .setService(service.text)
            .setKind(kind.text)
            .setMethod(method)
            .setPath(path)
            .addAllHeaders(headers.toWire())
            .setRemainingMs(deadline.remainingMs(nowMs))
            .setDaemonIncarnation(incarnation.text)
            .setFingerprint(fingerprint.text)
            .setPriority(rank.priority)
            .setObjectiveMs(rank.objectiveAtMs - nowMs)
            .setPatienceMs(maxWaitMs)
            .setNested(rank.nested)
            .setRepeated(rank.repeated)
            .setLeaseAgeMs((nowMs - lease.renewedMs).coerceAtLeast(0))
            .setConfirms(true)
    peerClock.earliestMs(nowMs)?.let(builder::setSentAtMs)
    rank.team?.let { builder.setTeam(it.text) }
    when (val body = body) {
        is RequestBody.Inline -> builder.setInlineBody(UnsafeByteOperations.unsafeWrap(body.bytes))
        is RequestBody.Streamed -> builder.setStreamedBody(true).setBodyLength(body.length)
    }
    return builder.build()
}

internal fun AttemptResult.NotRun.toWire(): NotRun {
    val builder = NotRun.newBuilder().setReason(reason.text).setFinal(final)
    load?.let { builder.setLoad(it.toWire()) }
    return builder.build()
}

internal fun AttemptResult.Unknown.toWire(): Unknown {
    val builder = Unknown.newBuilder().setReason(reason.text)
    load?.let { builder.setLoad(it.toWire()) }
    return builder.build()
}
