package org.endivestep.admission

import org.endivestep.choice.completionMs
import org.endivestep.exchange.RequestRank
import org.endivestep.identity.TeamName
import java.util.SplittableRandom

/** Order in which the simulated workers serve and refuse requests. */
internal enum class ServiceOrder { FIRST_COME, WITHOUT_TEAMS, WITH_TEAMS }

/** A kind of request: its [share] of the usual requests, and its times in ms. */
internal enum class SimulatedKind(val share: Double, val priority: Int, val workMs: Double, val objectiveMs: Long, val timeoutMs: Long) {
    URGENT(0.4, 0, 59.0, 205, 600),
    USUAL(0.4, 1, 110.0, 500, 1_200),
    UNHURRIED(0.2, 2, 190.0, 1_014, 2_500),
}

/** One pattern of load, relative to the usual load of [BASE_LOAD] of the capacity. */
internal class LoadPattern(
    val name: String,
    val crowdFactor: Double = 1.0,
    val kindFactors: Map<SimulatedKind, Double> = emptyMap(),
    val killsHalf: Boolean = false,
    val noisy: Boolean = false,
)

internal class KindResult(var offered: Int = 0, var inTime: Int = 0, var late: Int = 0) {
    /** An answer in time counts 1, one before the timeout a half. */
    val credit: Double get() = (inTime + late / 2.0) / offered.coerceAtLeast(1)
}

internal class SimulationResult {
    val kinds = SimulatedKind.entries.associateWith { KindResult() }
    val teams = HashMap<TeamName, KindResult>()
    var refused = 0
    var refusedSoon = 0
    var begunMs = 0.0
    var lostMs = 0.0

    val credit: Double get() = kinds.values.sumOf { it.inTime + it.late / 2.0 } / kinds.values.sumOf { it.offered }

    /** The least credit of a team with enough requests to tell, relative to that of all. */
    val leastTeamRatio: Double get() = countedTeams().minOf { it.credit } / credit

    val leastKindRatio: Double get() = kinds.values.minOf { it.credit } / credit

    /** The mean credit of the teams that send no more than usual. */
    val quietCredit: Double get() = countedTeams { it != CROWD }.let { teams -> teams.sumOf { it.credit } / teams.size }

    /** Share of the refusals that came soon, 1 when there was none. */
    val refusedSoonShare: Double get() = if (refused == 0) 1.0 else refusedSoon.toDouble() / refused

    val lostShare: Double get() = lostMs / begunMs

    private fun countedTeams(counts: (TeamName) -> Boolean = { true }) =
        teams.filter { counts(it.key) && it.value.offered >= MIN_OFFERED }.values

    override fun toString(): String =
        "credit %.3f (%s), quiet teams %.3f, least team %.2f of all, refused %d, %.2f of them in 20 ms, lost work %.3f".format(
            credit,
            kinds.entries.joinToString { "%s %.3f".format(it.key.name.lowercase(), it.value.credit) },
            quietCredit,
            leastTeamRatio,
            refused,
            refusedSoonShare,
            lostShare,
        )

    companion object {
        val CROWD = TeamName("team-0")
        const val MIN_OFFERED = 30
    }
}

/** Share of the workers' capacity that the usual load takes. */
internal const val BASE_LOAD = 0.8

/**
 * Plays [pattern] against some workers in virtual time, in steps of 1 ms. A request goes to the worker with the least work; one that is
 * refused goes on to others, as the dispatcher does it.
 */
internal class CapacitySimulation(private val order: ServiceOrder, private val pattern: LoadPattern, seed: Long) {
    private class Job(val kind: SimulatedKind, val team: TeamName, val arrivedMs: Long) {
        val tried = HashSet<Worker>()
        val deadlineMs get() = arrivedMs + kind.timeoutMs
    }

    private inner class Waiting(val job: Job, rank: RequestRank, workMs: Double) : WaitingRequest(rank, workMs)

    private class Running(val job: Job, val beganMs: Long, val endMs: Long)

    private inner class Worker {
        val queue = WaitingQueue<Waiting>()
        val running = ArrayList<Running>()
        var isAlive = true
        var slowUntilMs = 0L
        val occupied get() = running.size + queue.size

        fun slownessPercent(nowMs: Long): Int = if (nowMs < slowUntilMs) 400 else 100

        /** Returns the requests that are refused by the arrival of [job]. */
        fun offer(job: Job, maxWaitMs: Long, nowMs: Long): List<Job> {
            val workMs = completionMs(job.kind.workMs, slownessPercent(nowMs))
            val team = job.team.takeIf { order == ServiceOrder.WITH_TEAMS }
            val request = Waiting(job, RequestRank(job.kind.priority, job.arrivedMs + job.kind.objectiveMs, team = team), workMs)
            if (queue.isEmpty && running.size < SLOTS) {
                begin(request, nowMs)
                return emptyList()
            }
            val longestMs = minOf(maxWaitMs, QUEUE_WAIT_MS, job.deadlineMs - nowMs - (workMs * 0.7).toLong())
            request.waitsUntilMs = nowMs + longestMs
            if (refusesOnArrival(request, longestMs, nowMs)) return listOf(job)
            queue.add(request)
            if (order != ServiceOrder.WITH_TEAMS) return emptyList()
            return queue.overdue(SLOTS, nowMs).onEach(queue::remove).map { it.job }
        }

        private fun refusesOnArrival(request: Waiting, longestMs: Long, nowMs: Long): Boolean {
            if (longestMs <= 0 || queue.size >= QUEUE_LENGTH) return true
            if (order == ServiceOrder.FIRST_COME) return false
            request.recordExpectedWait(queue.expectedWaitMs(request, SLOTS, nowMs), nowMs)
            return queue.refuses(request, nowMs) || queue.expectedWaitMs(request, SLOTS, nowMs) > longestMs
        }

        /** Returns the requests that waited in vain. */
        fun expire(nowMs: Long): List<Job> {
            val refuses = { request: Waiting -> order != ServiceOrder.FIRST_COME && queue.refuses(request, nowMs) }
            return queue.all().filter { it.waitsUntilMs <= nowMs || refuses(it) }.onEach(queue::remove).map { it.job }
        }

        fun fill(nowMs: Long) {
            while (running.size < SLOTS) {
                val next = (if (order == ServiceOrder.FIRST_COME) queue.all().firstOrNull() else queue.first(nowMs)) ?: break
                queue.remove(next)
                begin(next, nowMs)
            }
        }

        private fun begin(request: Waiting, nowMs: Long) {
            queue.recordBegun(request.rank, request.workMs, nowMs)
            val fullness = 1.0 + 0.7 * (running.size / 5.0) * (running.size / 5.0)
            val factor = (0.7 + random.nextDouble() * 0.6) * fullness * if (nowMs < slowUntilMs) 4.0 else 1.0
            running += Running(request.job, nowMs, nowMs + (request.job.kind.workMs * factor).toLong())
        }
    }

    private val random = SplittableRandom(seed)
    private val workers = List(WORKERS) { Worker() }
    private val result = SimulationResult()

    // Teams of unequal size; the crowd's is one of the larger ones.
    private val teamWeights = DoubleArray(TEAMS) { if (it == 0) CROWD_WEIGHT else 1.0 / (it + 4) }.let { w -> w.map { it / w.sum() } }

    fun run(): SimulationResult {
        for (nowMs in 0 until DURATION_MS) step(nowMs)
        return result
    }

    private fun step(nowMs: Long) {
        if (pattern.killsHalf && nowMs == DURATION_MS / 2) workers.take(WORKERS / 2).forEach { kill(it, nowMs) }
        if (pattern.noisy && nowMs % 300 == 0L) {
            workers.forEach { if (random.nextDouble() < 0.1) it.slowUntilMs = nowMs + 300 }
        }
        workers.filter { it.isAlive }.forEach { worker ->
            worker.running.filter { it.endMs <= nowMs }.forEach { end(worker, it) }
            worker.fill(nowMs)
            worker.expire(nowMs).forEach { reroute(it, nowMs) }
        }
        SimulatedKind.entries.forEach { arrive(it, nowMs) }
    }

    private fun arrive(kind: SimulatedKind, nowMs: Long) {
        val usualPerMs = BASE_LOAD * WORKERS * SLOTS / meanWorkMs * kind.share * (pattern.kindFactors[kind] ?: 1.0)
        if (random.nextDouble() < usualPerMs) offer(kind, team(), nowMs)
        val crowdPerMs = usualPerMs * teamWeights[0] * (pattern.crowdFactor - 1)
        if (random.nextDouble() < crowdPerMs) offer(kind, SimulationResult.CROWD, nowMs)
    }

    private fun offer(kind: SimulatedKind, team: TeamName, nowMs: Long) {
        result.kinds.getValue(kind).offered++
        result.teams.getOrPut(team) { KindResult() }.offered++
        send(Job(kind, team, nowMs), nowMs)
    }

    private fun team(): TeamName {
        var left = random.nextDouble()
        val index = teamWeights.indexOfFirst { weight -> (left < weight).also { left -= weight } }
        return TeamName("team-${index.coerceAtLeast(0)}")
    }

    private fun send(job: Job, nowMs: Long) {
        val untried = workers.filter { it.isAlive && it !in job.tried }
        val worker = untried.minByOrNull { it.occupied + random.nextDouble() * 2 } ?: return refuse(job, nowMs)
        val mayGoOn = job.tried.size < MAX_REROUTES && untried.size > 1
        job.tried += worker
        worker.offer(job, if (mayGoOn) REROUTE_WAIT_MS else Long.MAX_VALUE, nowMs).forEach { reroute(it, nowMs) }
    }

    private fun reroute(job: Job, nowMs: Long) {
        if (job.tried.size <= MAX_REROUTES && job.deadlineMs > nowMs) send(job, nowMs) else refuse(job, nowMs)
    }

    private fun refuse(job: Job, nowMs: Long) {
        result.refused++
        if (nowMs - job.arrivedMs <= SOON_MS) result.refusedSoon++
    }

    private fun kill(worker: Worker, nowMs: Long) {
        worker.isAlive = false
        worker.running.forEach { result.begunMs += nowMs - it.beganMs }
        worker.running.forEach { result.lostMs += nowMs - it.beganMs }
        worker.queue.all().onEach(worker.queue::remove).forEach { reroute(it.job, nowMs) }
    }

    private fun end(worker: Worker, run: Running) {
        worker.running -= run
        val workMs = (run.endMs - run.beganMs).toDouble()
        result.begunMs += workMs
        val answers = listOf(result.kinds.getValue(run.job.kind), result.teams.getValue(run.job.team))
        when {
            run.endMs > run.job.deadlineMs -> result.lostMs += workMs
            run.endMs <= run.job.arrivedMs + run.job.kind.objectiveMs -> answers.forEach { it.inTime++ }
            else -> answers.forEach { it.late++ }
        }
    }

    private companion object {
        const val WORKERS = 8
        const val SLOTS = 4
        const val TEAMS = 75
        const val CROWD_WEIGHT = 0.5
        const val DURATION_MS = 40_000L
        const val QUEUE_LENGTH = 64
        const val QUEUE_WAIT_MS = 800L
        const val MAX_REROUTES = 3
        const val REROUTE_WAIT_MS = 60L
        const val SOON_MS = 20L

        // With the slow-down of a worker on which most slots are used.
        val meanWorkMs = SimulatedKind.entries.sumOf { it.share * it.workMs } * 1.15
    }
}
