package org.endivestep.metrics

import io.github.oshai.kotlinlogging.KotlinLogging
import io.micrometer.core.instrument.Counter
import io.micrometer.core.instrument.MeterRegistry
import io.micrometer.core.instrument.Timer
import org.endivestep.admission.RefusalChange
import org.endivestep.admission.RefusalPeriods
import org.endivestep.exchange.RequestRank
import org.endivestep.identity.KindName
import org.endivestep.identity.TeamName
import org.endivestep.outcome.Load
import org.endivestep.outcome.NotRunReason
import java.time.Duration
import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.TimeUnit

private val logger = KotlinLogging.logger {}

/** Admission decision on one request at a worker's queue, after [waitedMs]; [refusal] is null for an admitted one. */
internal class AdmissionRecord(val kind: KindName, val rank: RequestRank, val waitedMs: Long, val refusal: NotRunReason?, val load: Load)

/**
 * Time in the queue of the local worker and its refusals, by reason and kind and by team. Logs when the queue starts and stops refusing.
 * Thread-safe.
 */
internal class AdmissionMetrics(private val registry: MeterRegistry, private val clockMs: () -> Long) {
    private data class RefusalLabel(val kind: String, val reason: String)

    private val waitTimers = ConcurrentHashMap<KindName, Timer>()
    private val refusals = ConcurrentHashMap<RefusalLabel, Counter>()
    private val teamRefusals = HashMap<String, Counter>()
    private val periods = RefusalPeriods()

    fun record(record: AdmissionRecord) {
        val change = synchronized(periods) { periods.record(record.refusal != null, clockMs()) }
        change?.let { log(it, record) }
        waitTimers.computeIfAbsent(record.kind, ::waitTimer).record(record.waitedMs, TimeUnit.MILLISECONDS)
        val reason = record.refusal ?: return
        refusals.computeIfAbsent(RefusalLabel(record.kind.text, reason.text), ::refusalCounter).increment()
        record.rank.team?.let { teamCounter(it).increment() }
    }

    private fun log(change: RefusalChange, record: AdmissionRecord) {
        when (change) {
            RefusalChange.Started ->
                logger.info {
                    "the queue of the worker started to refuse requests: ${record.refusal?.text}, kind ${record.kind.text}, " +
                        "${record.load.inFlight} of ${record.load.limit} in flight, ${record.load.waiting} waiting"
                }
            is RefusalChange.Ended ->
                logger.info { "the queue of the worker stopped refusing requests: ${change.refused} refused in ${change.durationMs} ms" }
        }
    }

    // The first teams that are refused have a label of their own; more labels would cost memory and a longer scrape.
    private fun teamCounter(team: TeamName): Counter =
        synchronized(teamRefusals) {
            val label = if (team.text in teamRefusals || teamRefusals.size < MAX_TEAM_LABELS) team.text else OTHER_TEAMS
            teamRefusals.getOrPut(label) { newTeamCounter(label) }
        }

    private fun newTeamCounter(label: String): Counter =
        Counter
            .builder("endivestep.admission.refused.by.team")
            .description("Requests with a team that the queue of the worker refused")
            .tag("team", label)
            .register(registry)

    private fun refusalCounter(label: RefusalLabel): Counter =
        Counter
            .builder("endivestep.admission.refused")
            .description("Requests that the queue of the worker refused")
            .tag("kind", label.kind)
            .tag("reason", label.reason)
            .register(registry)

    private fun waitTimer(kind: KindName): Timer =
        Timer
            .builder("endivestep.admission.wait")
            .description("Time in the queue of the worker until a request was admitted or refused")
            .tag("kind", kind.text)
            .serviceLevelObjectives(*bounds)
            .register(registry)

    companion object {
        const val MAX_TEAM_LABELS = 20

        /** Label for all teams without a label of their own. */
        const val OTHER_TEAMS = "(others)"

        private val bounds: Array<Duration> = arrayOf(1L, 5L, 20L, 60L, 200L, 800L).map(Duration::ofMillis).toTypedArray()
    }
}
