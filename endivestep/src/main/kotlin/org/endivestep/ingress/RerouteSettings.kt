package org.endivestep.ingress

/**
 * Limits on rerouting: a request that a daemon refused before it reached a worker is sent to another daemon
 * at most [maxReroutes] times, in addition to its retries. While other workers are left, the request waits
 * for admission at most [maxWaitMs].
 */
internal data class RerouteSettings(val maxReroutes: Int, val maxWaitMs: Long)
