package org.endivestep.identity

import java.security.SecureRandom
import java.util.HexFormat

/** Name of a service, as written in the configuration document. */
@JvmInline
internal value class ServiceName(val text: String)

/** Name of a kind of request within a service. */
@JvmInline
internal value class KindName(val text: String)

/** Name of a data centre. */
@JvmInline
internal value class DataCentreName(val text: String)

/** Name of a VM, which is also the name of its daemon. */
@JvmInline
internal value class VmName(val text: String)

/** Identity of one run of a daemon process; a restart creates a new one. */
@JvmInline
internal value class DaemonIncarnation(val text: String)

/** Name of a run of a worker process, as the worker announced it. A later run may have the same name; see [WorkerRunId]. */
@JvmInline
internal value class WorkerIncarnation(val text: String)

/** Identity of one run of a worker process: its announced name and its start in ms by the worker's clock, 0 if unknown. */
@JvmInline
internal value class WorkerRunId(val text: String)

internal fun workerRunId(incarnation: WorkerIncarnation, startedMs: Long): WorkerRunId = WorkerRunId("${incarnation.text}@$startedMs")

/** Identity of a caller's request; every attempt of the request carries it. */
@JvmInline
internal value class RequestId(val text: String)

/** Identity of one attempt of a request at one worker. */
@JvmInline
internal value class AttemptId(val text: String)

/** Name of a team whose callers share an API key and a quota. */
@JvmInline
internal value class TeamName(val text: String)

/** Version of the software of a worker, as the worker reports it. */
@JvmInline
internal value class WorkerVersion(val text: String)

/** Digest of a request's method, path and body, whoever sent it and whichever service runs it. */
@JvmInline
internal value class RequestSignature(val text: String)

/**
 * Digest that is equal for all transmissions of the same request: its [signature], and after a dot a digest of its origin,
 * which is what else a worker can tell requests apart by.
 */
@JvmInline
internal value class Fingerprint(val text: String) {
    val signature: RequestSignature get() = RequestSignature(text.substringBefore('.'))
}

/** Version of the configuration document, incremented by each accepted change. 0 means no document. */
@JvmInline
internal value class ConfigurationVersion(val number: Long) : Comparable<ConfigurationVersion> {
    override fun compareTo(other: ConfigurationVersion): Int = number.compareTo(other.number)

    fun next(): ConfigurationVersion = ConfigurationVersion(number + 1)
}

internal val noConfiguration = ConfigurationVersion(0)

private const val ID_BYTES = 12
private val idRandom = SecureRandom()

private val hexadecimal = HexFormat.of()

/** Returns 24 random hexadecimal digits. */
internal fun randomId(): String {
    val bytes = ByteArray(ID_BYTES)
    idRandom.nextBytes(bytes)
    return bytes.toHexadecimal()
}

/** Returns two lowercase hexadecimal digits for each byte. */
internal fun ByteArray.toHexadecimal(): String = hexadecimal.formatHex(this)
