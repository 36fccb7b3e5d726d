package org.endivestep.admission

import io.kotest.assertions.withClue
import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.shouldBe
import io.kotest.property.Arb
import io.kotest.property.arbitrary.bind
import io.kotest.property.arbitrary.boolean
import io.kotest.property.arbitrary.element
import io.kotest.property.arbitrary.int
import io.kotest.property.arbitrary.list
import io.kotest.property.arbitrary.long
import io.kotest.property.checkAll
import org.endivestep.document.LimitSettings
import org.endivestep.exchange.RequestRank
import org.endivestep.fakes.awaitWaiting
import org.endivestep.fakes.fuzz
import org.endivestep.identity.TeamName
import org.endivestep.outcome.NotRunReason
import java.util.concurrent.CompletableFuture
import java.util.concurrent.Executors
import java.util.concurrent.TimeUnit

private val crowd = TeamName("crowd")
private val quiet = TeamName("quiet")

private class Job(val name: String, rank: RequestRank, workMs: Double) : WaitingRequest(rank, workMs)

private fun job(
    name: String,
    team: TeamName?,
    objectiveAtMs: Long = 1_000,
    priority: Int = 1,
    workMs: Double = 100.0,
    nested: Boolean = false,
) = Job(name, RequestRank(priority, objectiveAtMs, nested, team = team), workMs)

/** Returns a queue at which the crowd has had much more work than its share. */
private fun queueAfterCrowd(): WaitingQueue<Job> {
    val queue = WaitingQueue<Job>()
    val waiting = job("waiting", quiet, workMs = 100.0)
    queue.add(waiting)
    repeat(10) { queue.recordBegun(RequestRank(priority = 1, team = crowd), 100.0, nowMs = 0) }
    queue.remove(waiting)
    return queue
}

private val orderWithoutTeams: Comparator<WaitingSortKey> =
    compareBy<WaitingSortKey> { !it.rank.nested }
        .thenBy { it.rank.priority }
        .thenBy { it.late }
        .thenBy { !it.rank.repeated }
        .thenBy { it.rank.objectiveAtMs }

private val ranks: Arb<RequestRank> = Arb.bind(Arb.int(0..2), Arb.long(0L..900L), Arb.boolean(), Arb.boolean(), ::RequestRank)
private val jobs: Arb<Job> = Arb.bind(ranks, Arb.element(0.0, 59.0, 190.0)) { rank, workMs -> Job("", rank, workMs) }

private fun limits(queueLength: Int) =
    LimitSettings(cold = 1, max = 1, idleColdAfterMs = 0, latencyTolerance = 1_000.0, queueLength = queueLength, queueWaitMs = 60_000)

private const val RESULT_TIMEOUT_S = 20L

/** Runs requests against an admission queue with one slot, which is taken. */
private class Requests(queueLength: Int) {
    private val threads = Executors.newCachedThreadPool { Thread(it).apply { isDaemon = true } }
    val queue = AdmissionQueue(limits(queueLength)) { 1_000 }
    private val running = queue.admit(AdmissionRequest(0)) as Admission.Admitted
    private var waiting = 0

    fun wait(team: TeamName?, maxWaitMs: Long = 60_000, objectiveAtMs: Long = 50_000): CompletableFuture<Admission> {
        val admission = offer(team, maxWaitMs, objectiveAtMs)
        waiting++
        queue.awaitWaiting(waiting)
        return admission
    }

    fun offer(team: TeamName?, maxWaitMs: Long = 60_000, objectiveAtMs: Long = 50_000): CompletableFuture<Admission> {
        val rank = RequestRank(priority = 1, objectiveAtMs = objectiveAtMs, team = team)
        return CompletableFuture.supplyAsync({ queue.admit(AdmissionRequest(maxWaitMs, rank = rank, workMs = 100.0)) }, threads)
    }

    fun release() = queue.release(running.permit, Completion.Answered(1.0))
}

private val overloaded = Admission.Refused(NotRunReason.OVERLOADED)

class TeamsInQueueTest :
    FunSpec({
        test("requests of teams are ordered by nesting, priority, lateness and work served, and those served alike by objective") {
            class Case(val name: String, val first: Job, val second: Job)
            val late = 0L
            listOf(
                Case("a quiet team before a crowd's earlier objective", job("a", quiet), job("b", crowd, objectiveAtMs = 300)),
                Case("no team before a crowd's earlier objective", job("a", null), job("b", crowd, objectiveAtMs = 300)),
                Case("a crowd's request in time before a quiet team's late one", job("a", crowd), job("b", quiet, objectiveAtMs = late)),
                Case("a crowd's higher priority", job("a", crowd, priority = 0), job("b", quiet)),
                Case("a crowd's nested call", job("a", crowd, nested = true), job("b", quiet)),
                Case("an earlier objective of teams alike", job("a", quiet, objectiveAtMs = 300), job("b", TeamName("other"))),
                Case("an earlier objective, with a team or without", job("a", null, objectiveAtMs = 300), job("b", quiet)),
            ).forEach { case ->
                listOf(listOf(case.first, case.second), listOf(case.second, case.first)).forEach { arrivals ->
                    val queue = queueAfterCrowd()
                    arrivals.forEach(queue::add)
                    withClue(case.name) {
                        queue.first(0)?.name shouldBe "a"
                        queue.last(0)?.name shouldBe "b"
                    }
                }
            }
        }

        test("without teams, requests are served in the order and with the estimates of before") {
            checkAll(fuzz(), Arb.list(jobs, 1..12), jobs) { waiting, newcomer ->
                val queue = WaitingQueue<Job>()
                waiting.forEach(queue::add)
                repeat(waiting.size) { queue.recordBegun(waiting[it].rank, waiting[it].workMs, nowMs = 300L + it) }
                val nowMs = 400L
                val key = { job: Job -> WaitingSortKey(job.rank, job.isLate(nowMs)) }
                val ahead = waiting.filter { orderWithoutTeams.compare(key(it), key(newcomer)) <= 0 }.sumOf { it.workMs }
                queue.expectedWaitMs(newcomer, 4, nowMs) shouldBe (ahead + newcomer.workMs / 2) / 4
                queue.overdue(4, nowMs) shouldBe emptyList()
                repeat(waiting.size) {
                    val expected = queue.all().minWithOrNull(compareBy(orderWithoutTeams, key))
                    val first = checkNotNull(queue.first(nowMs))
                    first shouldBe expected
                    queue.remove(first)
                }
            }
        }

        test("a quiet team's request does not wait behind the backlog of a crowd, and is not refused because of it") {
            val requests = Requests(queueLength = 64)
            repeat(10) { requests.wait(crowd) }
            // Behind the crowd's backlog, it would begin after more than a second.
            val admission = requests.wait(quiet, maxWaitMs = 200, objectiveAtMs = 40_000)
            requests.release()
            admission.get(RESULT_TIMEOUT_S, TimeUnit.SECONDS).let { (it is Admission.Admitted) shouldBe true }
            requests.queue.close(NotRunReason.LEAVING)
        }

        test("in a full queue, the last in the order is refused; without teams, the newcomer") {
            class Case(val name: String, val backlog: TeamName?, val newcomer: TeamName?, val newcomerIsRefused: Boolean)
            listOf(
                Case("a quiet team's request beside a crowd", crowd, quiet, false),
                Case("one more of the crowd", crowd, crowd, true),
                Case("no teams", null, null, true),
            ).forEach { case ->
                val requests = Requests(queueLength = 4)
                val backlog = List(4) { requests.wait(case.backlog) }
                val newcomer = requests.offer(case.newcomer, objectiveAtMs = 60_000)
                val refused = CompletableFuture.anyOf(newcomer, *backlog.toTypedArray()).get(RESULT_TIMEOUT_S, TimeUnit.SECONDS)
                withClue(case.name) {
                    refused shouldBe overloaded
                    newcomer.isDone shouldBe case.newcomerIsRefused
                    backlog.count { it.isDone } shouldBe if (case.newcomerIsRefused) 0 else 1
                }
                requests.queue.close(NotRunReason.LEAVING)
            }
        }

        test("a waiting request is refused at once when others that go before it leave it no time until its deadline") {
            class Case(val name: String, val teams: Pair<TeamName?, TeamName?>, val isRefused: Boolean)
            listOf(
                Case("of a crowd, behind a quiet team", crowd to quiet, true),
                Case("without teams, as before", null to null, false),
            ).forEach { case ->
                val requests = Requests(queueLength = 64)
                repeat(3) { requests.wait(case.teams.first) }
                val last = requests.wait(case.teams.first, maxWaitMs = 400)
                val others = List(4) { TeamName("quiet-$it").takeIf { _ -> case.teams.second != null } }
                others.forEach { requests.offer(it, objectiveAtMs = 40_000) }
                withClue(case.name) {
                    if (case.isRefused) last.get(RESULT_TIMEOUT_S, TimeUnit.SECONDS) shouldBe overloaded else requests.queue.awaitWaiting(8)
                    last.isDone shouldBe case.isRefused
                }
                requests.queue.close(NotRunReason.LEAVING)
            }
        }
    })
