package org.endivestep.claim

import com.google.protobuf.ByteString
import com.google.protobuf.InvalidProtocolBufferException
import org.endivestep.identity.AttemptId
import org.endivestep.identity.Fingerprint
import org.endivestep.identity.KindName
import org.endivestep.identity.ServiceName
import org.endivestep.identity.VmName
import org.endivestep.identity.toHexadecimal
import org.endivestep.outcome.AnswerHead
import org.endivestep.outcome.HeaderField
import org.endivestep.protocol.v1.ClaimRecord
import org.endivestep.protocol.v1.Header
import org.endivestep.store.ObjectKey
import org.endivestep.store.ObjectStore
import org.endivestep.store.ObjectVersion
import org.endivestep.store.ReadResult
import org.endivestep.store.WriteResult
import java.security.MessageDigest

/** Maximum size in bytes of an answer body that is recorded for replay; for a longer one, only the status and headers are recorded. */
internal const val MAX_RECORDED_BODY_BYTES = 262_144

/** Idempotency key that a caller gives one non-idempotent request, with the scope in which it is unique. */
internal data class ClaimKey(val service: ServiceName, val kind: KindName, val idempotencyKey: String) {
    fun objectKey(): ObjectKey {
        val digest = MessageDigest.getInstance("SHA-256").digest(idempotencyKey.toByteArray())
        return ObjectKey("claims/${service.text}/${kind.text}/" + digest.toHexadecimal())
    }
}

/** A claim that this daemon holds; until it is released, only its holder changes the stored object. */
internal class HeldClaim(val key: ObjectKey, val version: ObjectVersion, val record: ClaimRecord)

/** The answer to an earlier request with the same key. */
internal class RecordedAnswer(val head: AnswerHead, val body: ByteArray?)

/** Result of an attempt to claim a key. */
internal sealed interface ClaimDecision {
    /** No request with this key ran; this daemon alone may run it. */
    class Run(val claim: HeldClaim) : ClaimDecision

    class Replay(val answer: RecordedAnswer) : ClaimDecision

    /** Another request with this key is in progress, or its outcome is not known. */
    data object InProgress : ClaimDecision

    /** The key was used for another request. */
    data object KeyReused : ClaimDecision

    /** The claim is not confirmed: the store did not answer, or an unconfirmed write may still take effect. */
    data object StoreUnavailable : ClaimDecision
}

/**
 * Claims on idempotency keys, kept in the store, so that a request with a key runs at most once
 * regardless of the daemons through which it is sent.
 *
 * A claim is not a lease: it does not expire, and no other daemon takes it over from one that is paused
 * or gone. Only the holder releases it, after it has proved that the request was not run.
 */
internal class Claims(private val store: ObjectStore, private val vm: VmName, private val clockMs: () -> Long) {
    /**
     * Claims [key] for [attempt]. When the answer to the write is lost, the outcome is resolved by reading the object.
     * Waits for at most [maxWaitMs] while another request with the key is in progress.
     */
    fun claim(key: ClaimKey, attempt: AttemptId, fingerprint: Fingerprint, maxWaitMs: Long = 0): ClaimDecision {
        val objectKey = key.objectKey()
        val wanted = newRecord(attempt, fingerprint)
        val decision = claimOnce(objectKey, wanted)
        if (decision != ClaimDecision.InProgress || maxWaitMs <= 0) return decision
        awaitChange(objectKey, maxWaitMs)
        return resolveByReading(objectKey, wanted)
    }

    private fun claimOnce(objectKey: ObjectKey, wanted: ClaimRecord): ClaimDecision =
        when (val result = store.createIfAbsent(objectKey, wanted.toByteArray())) {
            is WriteResult.Written -> ClaimDecision.Run(HeldClaim(objectKey, result.version, wanted))
            WriteResult.Conflict, is WriteResult.Unknown -> resolveByReading(objectKey, wanted)
        }

    private fun awaitChange(key: ObjectKey, maxWaitMs: Long) {
        val running = store.get(key) as? ReadResult.Found ?: return
        if (parse(running.stored.bytes)?.state == ClaimRecord.State.CLAIMED) store.watch(key, running.stored.version, maxWaitMs)
    }

    /** Records that the request was answered. Returns false when the store did not confirm it. */
    fun complete(claim: HeldClaim, answer: RecordedAnswer): Boolean {
        val builder = claim.record.toBuilder().setState(ClaimRecord.State.COMPLETED).setStatus(answer.head.status)
        answer.head.headers.forEach { builder.addHeaders(Header.newBuilder().setName(it.name).setValue(it.value)) }
        if (answer.body != null) builder.setBodyKept(true).setBody(ByteString.copyFrom(answer.body))
        return replaceRecord(claim, builder.build())
    }

    /** Records that the request was proved not to have run, so that it may be sent again. */
    fun release(claim: HeldClaim): Boolean =
        replaceRecord(claim, claim.record.toBuilder().setState(ClaimRecord.State.RELEASED).build())

    /** Records that it cannot be determined whether the request ran. */
    fun abandon(claim: HeldClaim): Boolean =
        replaceRecord(claim, claim.record.toBuilder().setState(ClaimRecord.State.UNKNOWN_OUTCOME).build())

    /**
     * Releases the claim of [attempt], whose write was not confirmed and whose request was not run.
     * Returns false while the write may still take effect or the store does not answer.
     */
    fun releaseUnconfirmed(key: ClaimKey, attempt: AttemptId): Boolean {
        val found = store.get(key.objectKey()) as? ReadResult.Found ?: return false
        val record = parse(found.stored.bytes) ?: return true
        if (record.attemptId != attempt.text || record.state != ClaimRecord.State.CLAIMED) return true
        return release(HeldClaim(key.objectKey(), found.stored.version, record))
    }

    private fun replaceRecord(claim: HeldClaim, record: ClaimRecord): Boolean =
        when (store.replaceIfVersion(claim.key, claim.version, record.toByteArray())) {
            is WriteResult.Written -> true
            // Only the holder writes, so a conflict means that its own earlier write took effect.
            WriteResult.Conflict -> true
            is WriteResult.Unknown -> false
        }

    private fun resolveByReading(key: ObjectKey, wanted: ClaimRecord): ClaimDecision =
        when (val result = store.get(key)) {
            is ReadResult.Found -> decide(key, wanted, result)
            // The unconfirmed write may still take effect, so no other attempt may start.
            ReadResult.Absent, is ReadResult.Unavailable -> ClaimDecision.StoreUnavailable
        }

    private fun decide(key: ObjectKey, wanted: ClaimRecord, found: ReadResult.Found): ClaimDecision {
        val record = parse(found.stored.bytes) ?: return ClaimDecision.InProgress
        if (record.fingerprint != wanted.fingerprint) return ClaimDecision.KeyReused
        return when (record.state) {
            ClaimRecord.State.CLAIMED ->
                if (record.attemptId == wanted.attemptId) {
                    ClaimDecision.Run(HeldClaim(key, found.stored.version, record))
                } else {
                    ClaimDecision.InProgress
                }
            ClaimRecord.State.COMPLETED -> ClaimDecision.Replay(recordedAnswer(record))
            ClaimRecord.State.RELEASED -> claimReleased(key, found.stored.version, wanted)
            else -> ClaimDecision.InProgress
        }
    }

    private fun claimReleased(key: ObjectKey, version: ObjectVersion, wanted: ClaimRecord): ClaimDecision =
        when (val result = store.replaceIfVersion(key, version, wanted.toByteArray())) {
            is WriteResult.Written -> ClaimDecision.Run(HeldClaim(key, result.version, wanted))
            WriteResult.Conflict -> ClaimDecision.InProgress
            is WriteResult.Unknown -> resolveOwnWrite(key, wanted)
        }

    private fun resolveOwnWrite(key: ObjectKey, wanted: ClaimRecord): ClaimDecision {
        val found = store.get(key) as? ReadResult.Found ?: return ClaimDecision.StoreUnavailable
        val record = parse(found.stored.bytes) ?: return ClaimDecision.InProgress
        if (record.attemptId != wanted.attemptId) return ClaimDecision.StoreUnavailable
        return ClaimDecision.Run(HeldClaim(key, found.stored.version, record))
    }

    private fun newRecord(attempt: AttemptId, fingerprint: Fingerprint): ClaimRecord =
        ClaimRecord
            .newBuilder()
            .setState(ClaimRecord.State.CLAIMED)
            .setAttemptId(attempt.text)
            .setVm(vm.text)
            .setTimeMs(clockMs())
            .setFingerprint(fingerprint.text)
            .build()

    private fun recordedAnswer(record: ClaimRecord): RecordedAnswer {
        val headers = record.headersList.map { HeaderField(it.name, it.value) }
        val body = if (record.bodyKept) record.body.toByteArray() else null
        return RecordedAnswer(AnswerHead(record.status, headers), body)
    }

    private fun parse(bytes: ByteArray): ClaimRecord? =
        try {
            ClaimRecord.parseFrom(bytes)
        } catch (_: InvalidProtocolBufferException) {
            null
        }
}
