package org.endivestep.admission

import io.kotest.assertions.withClue
import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.doubles.shouldBeGreaterThan
import io.kotest.matchers.doubles.shouldBeLessThan
import org.endivestep.exchange.RequestRank
import java.util.SplittableRandom

private const val SLOTS = 4
private const val WORK_MS = 160.0
private const val OBJECTIVE_MS = 500L
private const val MAX_WAIT_MS = 890L
private const val DURATION_MS = 60_000L

/** Simulates one worker and its waiting requests in steps of 1 ms; counts answers that meet their objective. */
private class QueueSimulation(private val loadFactor: Double, private val slowShare: Double, seed: Long) {
    private class Job(val arrivedMs: Long) : WaitingRequest(RequestRank(priority = 1, objectiveAtMs = arrivedMs + OBJECTIVE_MS), WORK_MS)

    private val random = SplittableRandom(seed)
    private val queue = WaitingQueue<Job>()
    private val waiting = mutableListOf<Job>()
    private val runningUntilMs = mutableListOf<Long>()
    private var slowUntilMs = 0L
    var offered = 0
        private set
    var inTime = 0
        private set
    var refused = 0
        private set
    var heldBeforeRefusalMs = 0L
        private set

    /** Returns the mean time in ms that a refused request was held before its refusal. */
    fun meanHeldBeforeRefusalMs(): Double {
        for (nowMs in 0 until DURATION_MS) step(nowMs)
        return heldBeforeRefusalMs.toDouble() / refused.coerceAtLeast(1)
    }

    /** Returns the answers in time as a share of the worker's capacity. */
    fun shareOfCapacity(): Double {
        for (nowMs in 0 until DURATION_MS) step(nowMs)
        val meanWorkMs = WORK_MS * (1.0 + slowShare * 3.0)
        return inTime / (DURATION_MS * SLOTS / meanWorkMs)
    }

    private fun step(nowMs: Long) {
        if (nowMs % 300 == 0L && random.nextDouble() < slowShare) slowUntilMs = nowMs + 300
        runningUntilMs.removeAll { it <= nowMs }
        waiting.filter { nowMs - it.arrivedMs >= MAX_WAIT_MS || queue.refuses(it, nowMs) }.forEach { refuse(it, nowMs) }
        if (random.nextDouble() < loadFactor * SLOTS / WORK_MS) arrive(nowMs)
        while (runningUntilMs.size < SLOTS) begin(queue.first(nowMs) ?: break, nowMs)
    }

    private fun arrive(nowMs: Long) {
        offered++
        val job = Job(nowMs)
        val expectedMs = { if (runningUntilMs.size < SLOTS) 0.0 else (queue.workAheadMs(job, nowMs) + WORK_MS / 2) / SLOTS }
        job.recordExpectedWait(expectedMs(), nowMs)
        if (expectedMs() > MAX_WAIT_MS || queue.refuses(job, nowMs)) {
            refused++
            return
        }
        queue.add(job)
        waiting += job
    }

    private fun refuse(job: Job, nowMs: Long) {
        queue.remove(job)
        waiting.remove(job)
        refused++
        heldBeforeRefusalMs += nowMs - job.arrivedMs
    }

    private fun begin(job: Job, nowMs: Long) {
        queue.remove(job)
        waiting.remove(job)
        val factor = (0.7 + random.nextDouble() * 0.6) * if (nowMs < slowUntilMs) 4.0 else 1.0
        val endMs = nowMs + (WORK_MS * factor).toLong()
        runningUntilMs += endMs
        if (endMs <= job.arrivedMs + OBJECTIVE_MS) inTime++
    }
}

class WaitingQueueTest :
    FunSpec({
        test("under sustained overload, most of the worker's capacity still goes to answers in time") {
            class Case(val name: String, val loadFactor: Double, val slowShare: Double, val minShare: Double)
            listOf(
                Case("a third above capacity", 1.3, 0.0, 0.9),
                Case("twice the capacity", 2.0, 0.0, 0.9),
                Case("at capacity, at times four times slower for 300 ms", 1.0, 0.1, 0.6),
            ).forEach { case ->
                withClue(case.name) {
                    QueueSimulation(case.loadFactor, case.slowShare, seed = 20261204).shareOfCapacity() shouldBeGreaterThan
                        case.minShare
                }
            }
        }

        test("under sustained overload, a request is refused soon after its arrival") {
            listOf(1.3, 2.0).forEach { loadFactor ->
                withClue("load factor $loadFactor") {
                    QueueSimulation(loadFactor, slowShare = 0.0, seed = 20261204).meanHeldBeforeRefusalMs() shouldBeLessThan
                        OBJECTIVE_MS / 8.0
                }
            }
        }
    })
