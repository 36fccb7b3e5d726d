package org.endivestep.retry

import org.endivestep.identity.KindName
import org.endivestep.identity.ServiceName

/** [extraShare] is the share of a service's requests that may be sent a second time before the first attempt has ended; 0 is none. */
internal data class HedgeSettings(val extraShare: Double = 0.0) {
    val isEnabled: Boolean get() = extraShare > 0
}

/** Facts that decide whether a second attempt is sent; times are in ms. */
internal data class HedgeFacts(
    /** Time since the first attempt began. */
    val elapsedMs: Long,
    /** Time left until the deadline of the request. */
    val remainingMs: Long,
    /** Expected time until the second worker would respond. */
    val secondMs: Double,
)

/** Whether a second attempt helps a request whose first one has not responded yet. */
internal enum class HedgeDecision {
    SEND,

    /** The second worker would respond after the deadline. */
    TOO_LATE,

    /** The second worker is not expected to respond clearly sooner than the first one. */
    NOT_SOONER,
}

/**
 * Decides when a second attempt of a request is sent while the first one still runs, and how many there are.
 *
 * Each request of a service earns [HedgeSettings.extraShare] of a second attempt. Every daemon begins with none, so the second
 * attempts of all daemons together stay within the share, however the requests are distributed. A pure state machine: times are
 * in ms. Not thread-safe.
 */
internal class HedgePolicy(private val settings: HedgeSettings, private val clockMs: () -> Long) {
    private class KindTimes {
        val times = ResponseTimes()
        var delayMs: Long? = null
        var delayUntilMs = Long.MIN_VALUE
    }

    private class ServiceState {
        var tokens = 0.0
        val kinds = LinkedHashMap<KindName, KindTimes>()
    }

    private val services = HashMap<ServiceName, ServiceState>()

    /** Records a request, which earns a share of a second attempt; to be called once for each request. */
    fun noteRequest(service: ServiceName) {
        val state = service(service)
        state.tokens = (state.tokens + settings.extraShare).coerceAtMost(MAX_TOKENS)
    }

    /** Records that a first attempt responded after [elapsedMs]. */
    fun noteResponse(service: ServiceName, kind: KindName, elapsedMs: Long) =
        times(service, kind).times.add(elapsedMs.toDouble(), clockMs())

    /** Records that a first attempt had not responded after [elapsedMs], when it was cancelled. */
    fun noteUnfinished(service: ServiceName, kind: KindName, elapsedMs: Long) =
        times(service, kind).times.addUnfinished(elapsedMs.toDouble(), clockMs())

    /** Returns the time after which a first attempt counts as slow, or null when it is not known. */
    fun delayMs(service: ServiceName, kind: KindName): Long? {
        val known = times(service, kind)
        val nowMs = clockMs()
        if (nowMs >= known.delayUntilMs) {
            known.delayMs = known.times.quantileMs(SLOW_QUANTILE, nowMs)?.toLong()
            known.delayUntilMs = nowMs + DELAY_VALID_MS
        }
        return known.delayMs
    }

    fun decide(service: ServiceName, kind: KindName, facts: HedgeFacts): HedgeDecision {
        val firstLeftMs = times(service, kind).times.meanLeftMs(facts.elapsedMs.toDouble())
        return when {
            facts.secondMs >= facts.remainingMs -> HedgeDecision.TOO_LATE
            facts.secondMs * CLEARLY_SOONER > firstLeftMs -> HedgeDecision.NOT_SOONER
            else -> HedgeDecision.SEND
        }
    }

    /** Whether the share of [service] allows another second attempt. */
    fun canSpend(service: ServiceName): Boolean = service(service).tokens >= 1.0

    /** Spends one second attempt; returns false when the share does not allow it. */
    fun trySpend(service: ServiceName): Boolean {
        val state = service(service)
        if (state.tokens < 1.0) return false
        state.tokens -= 1.0
        return true
    }

    private fun service(name: ServiceName): ServiceState = services.getOrPut(name, ::ServiceState)

    private fun times(service: ServiceName, kind: KindName): KindTimes {
        val kinds = service(service).kinds
        kinds[kind]?.let { return it }
        if (kinds.size >= MAX_KINDS) kinds.remove(kinds.keys.first())
        return KindTimes().also { kinds[kind] = it }
    }

    private companion object {
        /** Share of the responses that come before an attempt counts as slow. */
        const val SLOW_QUANTILE = 0.95

        /** Factor by which the second worker must be expected to respond sooner. */
        const val CLEARLY_SOONER = 1.25

        /** Second attempts that a service may save up. */
        const val MAX_TOKENS = 10.0
        const val DELAY_VALID_MS = 250L

        /** Kinds of a service whose times are kept; the one known longest gives way. */
        const val MAX_KINDS = 64
    }
}
