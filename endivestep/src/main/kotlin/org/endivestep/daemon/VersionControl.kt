package org.endivestep.daemon

import io.micrometer.core.instrument.Counter
import org.endivestep.admission.Completion
import org.endivestep.egress.RequestEnd
import org.endivestep.egress.RunObserver
import org.endivestep.egress.WorkerRegistry
import org.endivestep.exchange.monotonicMs
import org.endivestep.identity.KindName
import org.endivestep.identity.ServiceName
import org.endivestep.identity.WorkerVersion
import org.endivestep.ingress.Route
import org.endivestep.metrics.DaemonMetrics
import org.endivestep.rollout.EvidenceCounters
import org.endivestep.rollout.RolloutTable
import org.endivestep.rollout.SuspensionClock
import org.endivestep.rollout.VersionChoice
import org.endivestep.rollout.VersionGate
import org.endivestep.rollout.VersionOutcome
import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.ThreadLocalRandom

/** What the path of each request asks about versions of workers, and where it reports how requests ended. Thread-safe. */
internal class VersionControl(private val metrics: DaemonMetrics, private val workers: WorkerRegistry) : RunObserver {
    private val clock = SuspensionClock(::monotonicMs, System::currentTimeMillis)
    private val responses = ConcurrentHashMap<ResponseLabel, Counter>()
    private val choice: VersionChoice

    val table = RolloutTable(::monotonicMs)
    val gate = VersionGate(table, clock::nowMs)
    val counters = EvidenceCounters(::monotonicMs)

    init {
        choice = VersionChoice(table) { ThreadLocalRandom.current().nextDouble() }
    }

    /** Time in ms that also counts suspensions of the VM. */
    fun elapsedMs(): Long = clock.nowMs()

    /** Whether the local worker of [service] may run a request now. */
    fun permits(service: ServiceName, version: WorkerVersion?): Boolean = gate.permits(service, version)

    /** Returns those of [routes] that the next attempt may use. */
    fun select(service: ServiceName, routes: List<Route>, refused: Set<WorkerVersion?>): List<Route> =
        choice.select(service, routes, refused, { it.version }, { it.candidate.vm.text })

    override fun started() = counters.started()

    override fun ended(kind: KindName, completion: Completion, how: RequestEnd) {
        val outcome = outcomeOf(completion, how)
        counters.ended(kind, outcome)
        if (outcome != VersionOutcome.None) count(failed = outcome == VersionOutcome.Failed)
    }

    private fun outcomeOf(completion: Completion, how: RequestEnd): VersionOutcome =
        when (completion) {
            is Completion.Answered -> VersionOutcome.Answered(completion.latencyMs)
            Completion.Failed -> if (how == RequestEnd.NOT_SENT) VersionOutcome.None else VersionOutcome.Failed
            Completion.Cancelled, Completion.Shed -> VersionOutcome.None
        }

    private fun count(failed: Boolean) {
        val version = workers.worker?.announcement?.version?.text.orEmpty()
        responses.computeIfAbsent(ResponseLabel(version, failed), ::counter).increment()
    }

    private fun counter(label: ResponseLabel): Counter =
        Counter
            .builder("endivestep.worker.responses")
            .description("Responses of the local worker by its version")
            .tag("version", label.version)
            .tag("outcome", if (label.failed) "failed" else "answered")
            .register(metrics.registry)

    private data class ResponseLabel(val version: String, val failed: Boolean)
}
