package org.endivestep.quota

import io.micrometer.core.instrument.Counter
import io.micrometer.core.instrument.MeterRegistry
import org.endivestep.identity.TeamName
import java.util.concurrent.ConcurrentHashMap

/** How the decision on a request for its team's quota ended, as a label. */
internal enum class QuotaResult(val text: String) {
    GRANTED("granted"),

    /** Granted from the fallback allowance. */
    FALLBACK("fallback"),
    REFUSED_LIMIT("refused-limit"),
    REFUSED_NO_OWNER("refused-no-owner"),
    GIVEN_BACK("given-back"),
}

/** Counts the decisions by team: the first [MAX_TEAMS] teams by name, all others together. Thread-safe. */
internal class QuotaMetrics(private val registry: MeterRegistry) {
    private data class Label(val team: String, val result: QuotaResult)

    private val labels = ConcurrentHashMap<TeamName, String>()
    private val counters = ConcurrentHashMap<Label, Counter>()

    fun count(team: TeamName, result: QuotaResult) {
        counters.computeIfAbsent(Label(label(team), result), ::counter).increment()
    }

    private fun label(team: TeamName): String = labels[team] ?: if (labels.size < MAX_TEAMS) addLabel(team) else OTHERS

    @Synchronized
    private fun addLabel(team: TeamName): String = if (labels.size < MAX_TEAMS) labels.getOrPut(team) { team.text } else OTHERS

    private fun counter(label: Label): Counter =
        Counter
            .builder("endivestep.quota.requests")
            .description("Callers' requests of limited teams by the decision on their quota")
            .tag("team", label.team)
            .tag("result", label.result.text)
            .register(registry)

    private companion object {
        const val MAX_TEAMS = 20
        const val OTHERS = "others"
    }
}
