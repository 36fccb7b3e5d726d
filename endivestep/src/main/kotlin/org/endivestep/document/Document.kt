package org.endivestep.document

import org.endivestep.identity.DataCentreName
import org.endivestep.identity.KindName
import org.endivestep.identity.ServiceName

/** The whole intended configuration, as parsed from a document that passed all checks. */
internal data class Document(
    val dataCentres: Map<DataCentreName, DataCentre>,
    val services: Map<ServiceName, Service>,
    val quarantine: QuarantineSettings,
    val routes: RouteTable = RouteTable(emptyList()),
    val callers: CallerLimits = CallerLimits(),
) {
    fun isIn(dataCentre: DataCentreName): Boolean = dataCentres[dataCentre]?.state == DataCentreState.IN
}

/** Whether a data centre receives new work. */
internal enum class DataCentreState(val text: String) {
    IN("in"),
    OUT("out"),
}

internal data class DataCentre(val name: DataCentreName, val region: String, val state: DataCentreState)

/** One service and how its workers are treated. Durations are in ms. */
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

/** What a worker bears while it is cold: [perSecond] requests a second, for [durationMs] after its start. */
internal data class ColdRate(val perSecond: Double, val durationMs: Long)

/** What one caller may send, in bytes, and how long its connection may stay idle, in ms. */
internal data class CallerLimits(
    val headerBytes: Int = 16_384,
    val bodyBytes: Long = 67_108_864,
    val headerTimeoutMs: Long = 10_000,
    val idleTimeoutMs: Long = 60_000,
)

/** Bounds of the number of requests that a worker may have in flight. */
internal data class LimitSettings(
    val cold: Int,
    val max: Int,
    val idleColdAfterMs: Long,
    val latencyTolerance: Double,
    val queueLength: Int,
    val queueWaitMs: Long,
)

/** Retries allowed as a share of the answered requests, and the reserve that an idle service has. */
internal data class RetrySettings(val ratio: Double, val reserve: Int, val maxAttempts: Int)

/** Budget for probes of one worker: [share] of its [LimitSettings.max] slots at [costMs] a probe. */
internal data class ProbeSettings(val share: Double, val costMs: Long, val path: String)

/**
 * A kind of request, selected by method and the longest matching path prefix.
 *
 * An answer within [deadlineMs] is in time; after [timeoutMs] without one the request is given up.
 */
internal data class Kind(
    val name: KindName,
    val methods: Set<String>,
    val pathPrefix: String,
    val idempotent: Boolean,
    val deadlineMs: Long,
    val timeoutMs: Long,
    val weight: Long,
)

internal data class QuarantineSettings(val deaths: Int, val durationMs: Long)

/** Returns the kind that [method] and [path] select, or null when none matches. */
internal fun Service.kindOf(method: String, path: String): Kind? =
    kinds
        .filter { method in it.methods && path.startsWith(it.pathPrefix) }
        .maxByOrNull { it.pathPrefix.length }
