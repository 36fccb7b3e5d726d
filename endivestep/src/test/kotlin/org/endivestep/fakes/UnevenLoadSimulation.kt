package org.endivestep.fakes

import org.endivestep.choice.Candidate
import org.endivestep.choice.ChoicePolicy
import org.endivestep.choice.Locality
import org.endivestep.choice.RequestTraits
import org.endivestep.choice.WorkerLoads
import org.endivestep.identity.DataCentreName
import org.endivestep.identity.KindName
import org.endivestep.identity.ServiceName
import org.endivestep.identity.VmName
import org.endivestep.outcome.Load
import org.endivestep.retry.HedgeDecision
import org.endivestep.retry.HedgeFacts
import org.endivestep.retry.HedgePolicy
import org.endivestep.retry.HedgeSettings
import java.util.PriorityQueue
import java.util.SplittableRandom
import kotlin.math.PI
import kotlin.math.sin

/** Load and faults of a simulation. Times are in ms. */
internal data class LoadPattern(
    val name: String,
    /** Workers in each data centre. */
    val workers: List<Int> = listOf(6, 4, 2),
    /** Requests as a share of what the workers can run. */
    val load: Double = 0.5,
    /** Demand swings by 55 percent in waves of 15 s, out of step between the data centres. */
    val waves: Boolean = false,
    /** Each worker is four times slower in a random quarter of all spans of 300 ms. */
    val noisy: Boolean = false,
    /** Every third worker is down for 1 s of each 4 s. */
    val flapping: Boolean = false,
    /** Reports arrive after a random time of up to this. */
    val staleMs: Long = 30,
    /** Whether a request that takes long takes long at every worker. */
    val slowByRequest: Boolean = false,
    val durationMs: Long = 24_000,
    val reportIntervalMs: Long = 50,
    /** Daemons with callers in all, equally many in each data centre; 0 is one beside each worker. */
    val callers: Int = 0,
)

/** What one daemon uses to choose workers. */
internal class SimulatedChoice(
    val loads: WorkerLoads,
    val report: (VmName, Load) -> Unit,
    val choose: ChoicePolicy,
    /** Expected time of a second attempt, null where the worker has no room. */
    val secondMs: (VmName, KindName) -> Double? = { _, _ -> null },
)

/** Creates the [SimulatedChoice] of one daemon. */
internal typealias SimulatedChoiceFactory = (Locality, clockMs: () -> Long, SplittableRandom) -> SimulatedChoice

/** Results of a simulation; shares are of the requests, times in ms. */
internal class LoadResult(
    val requests: Int,
    val inTimeShare: Double,
    val p50: Long,
    val p99: Long,
    val p999: Long,
    /** Work of the busiest worker as a factor of the mean. */
    val busiest: Double,
    val crossingShare: Double,
    val secondShare: Double,
    /** Time that workers spent on attempts whose response was not used, as a share of all. */
    val wastedShare: Double,
    val workMs: Double,
    val failedShare: Double,
) {
    fun line(): String =
        (
            "in time %6.2f%%  p50 %4d  p99 %5d  p99.9 %5d  busiest/mean %4.2f  crossings %5.1f%%  " +
                "second %5.2f%%  wasted %5.2f%%  failed %5.2f%%"
            ).format(
            inTimeShare * 100,
            p50,
            p99,
            p999,
            busiest,
            crossingShare * 100,
            secondShare * 100,
            wastedShare * 100,
            failedShare * 100,
        )
}

internal val simulatedKind = KindName("read")
private val service = ServiceName("shop")

/** Simulates, in virtual time, daemons that send requests of one kind to one another's workers. */
internal class UnevenLoadSimulation(
    private val pattern: LoadPattern,
    extraShare: Double,
    private val seed: Long,
    factory: SimulatedChoiceFactory,
) {
    private class Event(val atMs: Double, val order: Long, val run: () -> Unit)

    private class Request(val daemon: Int, val startMs: Double, val firstFactor: Double, val secondFactor: Double) {
        val tried = HashSet<Int>()
        val open = ArrayList<Attempt>()
        var reroutes = 0
        var attempts = 0
        var isHedged = false
        var isDone = false
    }

    private class Attempt(val request: Request, val worker: Int, val isSecond: Boolean, val startMs: Double, var leftMs: Double) {
        var spentMs = 0.0
        var waitUntilMs = 0.0
        var isCancelled = false
        var isEnded = false
    }

    private class Worker(val candidate: Candidate) {
        val running = ArrayList<Attempt>()
        val waiting = ArrayDeque<Attempt>()
        var workMs = 0.0
        var wastedMs = 0.0
        var isDown = false
        var slowness = 1.0
        var reported = 0L
    }

    private enum class End { RESPONSE, REFUSED, UNREACHABLE, LOST }

    private val arrivals = SplittableRandom(seed)
    private val network = SplittableRandom(seed + 1)
    private val noise = SplittableRandom(seed + 2)
    private var nowMs = 0.0
    private var order = 0L
    private val events = PriorityQueue<Event>(compareBy<Event> { it.atMs }.thenBy { it.order })
    private val centres = pattern.workers.flatMapIndexed { centre, count -> List(count) { centre } }
    private val daemonCentres = if (pattern.callers == 0) centres else List(pattern.callers) { it % pattern.workers.size }
    private val workers = centres.mapIndexed { index, centre -> Worker(Candidate(VmName("vm-$index"), DataCentreName("dc-$centre"), "r")) }
    private val candidates = workers.map { it.candidate }
    private val indexes = workers.withIndex().associate { it.value.candidate to it.index }
    private val choices = daemonCentres.mapIndexed { index, centre ->
        factory(Locality(DataCentreName("dc-$centre"), "r"), { nowMs.toLong() }, SplittableRandom(seed * 1_000 + index))
    }
    private val policies = daemonCentres.map { HedgePolicy(HedgeSettings(extraShare)) { nowMs.toLong() } }
    private val hedges = extraShare > 0
    private val latencies = ArrayList<Double>()
    private var requests = 0
    private var failed = 0
    private var sent = 0
    private var crossings = 0
    private var second = 0

    fun run(): LoadResult {
        var step = 0L
        while (nowMs < pattern.durationMs) {
            nowMs = step * STEP_MS
            if (step % (NOISE_MS / STEP_MS).toLong() == 0L) drawNoise()
            if (pattern.flapping) flap()
            if (step % (pattern.reportIntervalMs / STEP_MS).toLong() == 0L) report()
            arrive()
            while (events.isNotEmpty() && events.peek().atMs <= nowMs) events.poll().run()
            workers.forEach(::work)
            step++
        }
        return result()
    }

    private fun after(delayMs: Double, run: () -> Unit) {
        events += Event(nowMs + delayMs, order++, run)
    }

    private fun drawNoise() = workers.forEach { it.slowness = if (pattern.noisy && noise.nextInt(4) == 0) 4.0 else 1.0 }

    private fun flap() =
        workers.forEachIndexed { index, worker ->
            val isDown = index % 3 == 0 && (nowMs + index * FLAP_PERIOD_MS / workers.size) % FLAP_PERIOD_MS < DOWN_MS
            if (isDown && !worker.isDown) {
                (worker.running + worker.waiting).forEach { end(it, End.LOST) }
                worker.running.clear()
                worker.waiting.clear()
            }
            worker.isDown = isDown
        }

    private fun load(worker: Worker) = Load(worker.running.size, LIMIT, worker.waiting.size, (worker.slowness * 100).toInt())

    private fun report() {
        workers.forEach { worker ->
            if (worker.isDown) return@forEach
            val load = load(worker)
            val sequence = order
            after(network.nextDouble() * pattern.staleMs) {
                if (sequence >= worker.reported) {
                    worker.reported = sequence
                    choices.forEach { it.report(worker.candidate.vm, load) }
                }
            }
        }
    }

    private fun arrive() {
        val base = pattern.load * LIMIT / MEAN_WORK_MS * STEP_MS * workers.size / daemonCentres.size
        daemonCentres.forEachIndexed { daemon, centre ->
            val phase = 2 * PI * (nowMs / WAVE_MS + centre.toDouble() / pattern.workers.size)
            val rate = if (pattern.waves) base * (1 + WAVE_SWING * sin(phase)) else base
            // With the short steps, more than one request of a daemon in a step is rare.
            if (arrivals.nextDouble() < rate) start(Request(daemon, nowMs, factor(), factor()))
        }
    }

    private fun factor(): Double {
        val spread = 0.6 + 0.8 * arrivals.nextDouble()
        return if (arrivals.nextDouble() < SLOW_SHARE) spread * SLOW_FACTOR else spread
    }

    private fun start(request: Request) {
        if (isMeasured(request)) requests++
        policies[request.daemon].noteRequest(service)
        sendFirst(request)
    }

    private fun isMeasured(request: Request) = request.startMs >= WARM_UP_MS && request.startMs < pattern.durationMs - DEADLINE_MS

    private fun sendFirst(request: Request) {
        val usable = if (request.tried.isEmpty()) candidates else candidates.filter { indexes.getValue(it) !in request.tried }
        if (usable.isEmpty() || request.attempts >= MAX_ATTEMPTS) return fail(request)
        val chosen = choices[request.daemon].choose(RequestTraits(simulatedKind, bytes = 500, objectiveMs = OBJECTIVE_MS), usable)
        send(request, indexes.getValue(chosen), isSecond = false)
        if (hedges && !request.isHedged) scheduleSecond(request)
    }

    private fun scheduleSecond(request: Request) {
        val attempt = request.open.last()
        val delayMs = policies[request.daemon].delayMs(service, simulatedKind) ?: return
        after(delayMs.toDouble()) { if (!request.isDone && !request.isHedged && attempt in request.open) trySecond(request, attempt) }
    }

    private fun trySecond(request: Request, first: Attempt) {
        val policy = policies[request.daemon]
        val choice = choices[request.daemon]
        val remainingMs = (request.startMs + DEADLINE_MS - nowMs).toLong()
        val usable =
            candidates.filter { candidate ->
                val secondMs = choice.secondMs(candidate.vm, simulatedKind)
                secondMs != null &&
                    indexes.getValue(candidate) !in request.tried &&
                    policy.decide(service, simulatedKind, HedgeFacts((nowMs - first.startMs).toLong(), remainingMs, secondMs)) ==
                    HedgeDecision.SEND
            }
        if (usable.isEmpty() || request.attempts >= MAX_ATTEMPTS || !policy.trySpend(service)) return
        request.isHedged = true
        if (isMeasured(request)) second++
        send(request, indexes.getValue(choice.choose(RequestTraits(simulatedKind, 500, OBJECTIVE_MS), usable)), isSecond = true)
    }

    private fun send(request: Request, worker: Int, isSecond: Boolean) {
        val factor = if (isSecond && !pattern.slowByRequest) request.secondFactor else request.firstFactor
        val attempt = Attempt(request, worker, isSecond, nowMs, USUAL_MS * factor)
        request.tried += worker
        request.attempts++
        request.open += attempt
        choices[request.daemon].loads.begin(candidates[worker].vm)
        sent++
        if (centres[worker] != daemonCentres[request.daemon]) crossings++
        after(wayMs(attempt)) { reach(attempt) }
    }

    private fun wayMs(attempt: Attempt): Double =
        if (centres[attempt.worker] == daemonCentres[attempt.request.daemon]) 0.2 else CROSSING_MS / 2 + network.nextDouble()

    private fun reach(attempt: Attempt) {
        val worker = workers[attempt.worker]
        when {
            attempt.isCancelled -> return
            worker.isDown -> end(attempt, End.UNREACHABLE)
            worker.running.size < LIMIT && worker.waiting.isEmpty() -> worker.running += attempt
            attempt.isSecond || worker.waiting.size >= QUEUE -> end(attempt, End.REFUSED)
            else -> {
                attempt.waitUntilMs = nowMs + if (attempt.request.reroutes < MAX_REROUTES) REROUTE_WAIT_MS else QUEUE_WAIT_MS
                worker.waiting += attempt
            }
        }
    }

    private fun work(worker: Worker) {
        if (worker.running.isEmpty() && worker.waiting.isEmpty()) return
        val progress = STEP_MS / worker.slowness
        val done = ArrayList<Attempt>(0)
        worker.running.forEach {
            it.leftMs -= progress
            it.spentMs += STEP_MS
            worker.workMs += STEP_MS
            if (it.leftMs <= 0) done += it
        }
        worker.running -= done.toSet()
        done.forEach { end(it, End.RESPONSE) }
        val expired = worker.waiting.filter { it.waitUntilMs <= nowMs }
        worker.waiting.removeAll(expired)
        expired.forEach { end(it, End.REFUSED) }
        while (worker.running.size < LIMIT && worker.waiting.isNotEmpty()) worker.running += worker.waiting.removeFirst()
    }

    private fun end(attempt: Attempt, end: End) {
        val load = if (end == End.UNREACHABLE || end == End.LOST) null else load(workers[attempt.worker])
        after(wayMs(attempt)) { ended(attempt, end, load) }
    }

    private fun ended(attempt: Attempt, end: End, load: Load?) {
        if (attempt.isEnded) {
            workers[attempt.worker].wastedMs += attempt.spentMs
            return
        }
        val request = attempt.request
        close(attempt, load, if (end == End.RESPONSE || end == End.LOST) nowMs - attempt.startMs else null)
        if (load == null) choices[request.daemon].loads.avoid(candidates[attempt.worker].vm, AVOID_MS)
        if (end == End.RESPONSE) return respond(request, attempt)
        if (request.open.isNotEmpty()) return
        if (end == End.LOST) return sendFirst(request)
        if (request.reroutes++ >= MAX_REROUTES) return fail(request)
        request.attempts--
        sendFirst(request)
    }

    private fun close(attempt: Attempt, load: Load?, workerMs: Double?) {
        attempt.isEnded = true
        attempt.request.open -= attempt
        choices[attempt.request.daemon].loads.end(candidates[attempt.worker].vm, simulatedKind, load, workerMs?.toLong())
    }

    private fun respond(request: Request, attempt: Attempt) {
        request.isDone = true
        if (isMeasured(request)) latencies += nowMs - request.startMs
        val policy = policies[request.daemon]
        if (!attempt.isSecond) policy.noteResponse(service, simulatedKind, (nowMs - attempt.startMs).toLong())
        request.open.toList().forEach { cancel(it, policy) }
    }

    private fun cancel(attempt: Attempt, policy: HedgePolicy) {
        val elapsedMs = nowMs - attempt.startMs
        if (!attempt.isSecond) policy.noteUnfinished(service, simulatedKind, elapsedMs.toLong())
        close(attempt, null, if (attempt.isSecond) null else elapsedMs)
        after(wayMs(attempt)) {
            attempt.isCancelled = true
            val worker = workers[attempt.worker]
            if (worker.running.remove(attempt)) worker.wastedMs += attempt.spentMs
            worker.waiting.remove(attempt)
        }
    }

    private fun fail(request: Request) {
        request.isDone = true
        if (isMeasured(request)) failed++
    }

    private fun result(): LoadResult {
        val sorted = latencies.sorted()
        val workMs = workers.sumOf { it.workMs }
        return LoadResult(
            requests = requests,
            inTimeShare = sorted.count { it <= OBJECTIVE_MS }.toDouble() / requests,
            p50 = percentile(sorted, 0.5),
            p99 = percentile(sorted, 0.99),
            p999 = percentile(sorted, 0.999),
            busiest = workers.maxOf { it.workMs } / (workMs / workers.size),
            crossingShare = crossings.toDouble() / sent,
            secondShare = second.toDouble() / requests,
            wastedShare = workers.sumOf { it.wastedMs } / workMs,
            workMs = workMs,
            failedShare = failed.toDouble() / requests,
        )
    }

    private fun percentile(sorted: List<Double>, share: Double): Long = sorted[((sorted.size - 1) * share).toInt()].toLong()

    private companion object {
        const val STEP_MS = 2.0
        const val NOISE_MS = 300.0
        const val WAVE_MS = 15_000.0
        const val WAVE_SWING = 0.55
        const val FLAP_PERIOD_MS = 4_000.0
        const val DOWN_MS = 1_000.0
        const val LIMIT = 4
        const val QUEUE = 64
        const val USUAL_MS = 100.0
        const val SLOW_SHARE = 0.03
        const val SLOW_FACTOR = 7.0
        const val MEAN_WORK_MS = USUAL_MS * (1 + SLOW_SHARE * (SLOW_FACTOR - 1))
        const val CROSSING_MS = 4.4
        const val OBJECTIVE_MS = 400L
        const val DEADLINE_MS = 2_000.0
        const val WARM_UP_MS = 4_000.0
        const val MAX_ATTEMPTS = 3
        const val MAX_REROUTES = 3
        const val REROUTE_WAIT_MS = 60.0
        const val QUEUE_WAIT_MS = 800.0
        const val AVOID_MS = 1_000L
    }
}
