package org.endivestep.document

import org.endivestep.identity.DataCentreName
import org.endivestep.identity.KindName
import org.endivestep.identity.ServiceName

/** The complete configuration, parsed from a document that passed validation. */
internal data class Document(
    val dataCentres: Map<DataCentreName, DataCentre>,
    val services: Map<ServiceName, Service>,
    val quarantine: QuarantineSettings,
    val routes: RouteTable = RouteTable(emptyList()),
    val callers: CallerLimits = CallerLimits(),
    val teams: TeamTable = TeamTable(emptyList()),
) {
    fun isIn(dataCentre: DataCentreName): Boolean = dataCentres[dataCentre]?.state == DataCentreState.IN
}

/** Whether a data centre receives new work. */
internal enum class DataCentreState(val text: String) {
    IN("in"),
    OUT("out"),
}

internal data class DataCentre(val name: DataCentreName, val region: String, val state: DataCentreState)

/** One service and the policies that apply to its workers. Durations are in ms. */
internal data class Service(
    val name: ServiceName,
    val limits: LimitSettings,
    val retry: RetrySettings,
    val probe: ProbeSettings,
    val shedStatus: Int?,
    val echoesRequestId: Boolean,
    val kinds: List<Kind>,
    val coldRate: ColdRate? = null,
)

/** Rate limit of a cold worker: [perSecond] requests per second for [durationMs] after its start. */
internal data class ColdRate(val perSecond: Double, val durationMs: Long)

/** Size limits, in bytes, and timeouts, in ms, that apply to the connections of callers. */
internal data class CallerLimits(
    val headerBytes: Int = 16_384,
    val bodyBytes: Long = 67_108_864,
    val headerTimeoutMs: Long = 10_000,
    val idleTimeoutMs: Long = 60_000,
)

/** Settings of a worker's concurrency limit and admission queue. Durations are in ms. */
internal data class LimitSettings(
    val cold: Int,
    val max: Int,
    val idleColdAfterMs: Long,
    val latencyTolerance: Double,
    val queueLength: Int,
    val queueWaitMs: Long,
)

/** Retry budget: retries as a share of the answered requests, plus a reserve that is available while the service is idle. */
internal data class RetrySettings(val ratio: Double, val reserve: Int, val maxAttempts: Int)

/** Probe budget of one worker: [share] of its [LimitSettings.max] slots, where each probe occupies a slot for [costMs]. */
internal data class ProbeSettings(val share: Double, val costMs: Long, val path: String)

/**
 * A kind of request, selected by method and the longest matching path prefix.
 *
 * An answer within [deadlineMs] is in time; a request without an answer after [timeoutMs] times out.
 */
internal data class Kind(
    val name: KindName,
    val methods: Set<String>,
    val pathPrefix: String,
    val semantics: RequestSemantics,
    val deadlineMs: Long,
    val timeoutMs: Long,
    val weight: Long,
) {
    val idempotent: Boolean get() = semantics.idempotent
}

internal data class QuarantineSettings(val deaths: Int, val durationMs: Long)

/** Returns the kind that [method] and [path] select, or null when none matches. */
internal fun Service.kindOf(method: String, path: String): Kind? =
    kinds
        .filter { method in it.methods && path.startsWith(it.pathPrefix) }
        .maxByOrNull { it.pathPrefix.length }
