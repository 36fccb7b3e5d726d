package org.endivestep.admission

import io.kotest.assertions.withClue
import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.doubles.shouldBeGreaterThan
import io.kotest.matchers.doubles.shouldBeLessThan
import org.endivestep.exchange.RequestRank
import java.util.SplittableRandom

private const val PLACES = 4
private const val WORK_MS = 160.0
private const val OBJECTIVE_MS = 500L
private const val PATIENCE_MS = 890L
private const val SPAN_MS = 60_000L

/** One worker and the requests that wait for it, in steps of 1 ms; counts answers in time. */
private class QueueRun(private val loadFactor: Double, private val slowShare: Double, seed: Long) {
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
    var heldInVainMs = 0L
        private set

    /** Returns how long a request that was refused in the end had been held on average, in ms. */
    fun meanHeldInVainMs(): Double {
        for (nowMs in 0 until SPAN_MS) step(nowMs)
        return heldInVainMs.toDouble() / refused.coerceAtLeast(1)
    }

    /** Returns the answers in time as a share of what the worker can do at most. */
    fun shareOfCapacity(): Double {
        for (nowMs in 0 until SPAN_MS) step(nowMs)
        val meanWorkMs = WORK_MS * (1.0 + slowShare * 3.0)
        return inTime / (SPAN_MS * PLACES / meanWorkMs)
    }

    private fun step(nowMs: Long) {
        if (nowMs % 300 == 0L && random.nextDouble() < slowShare) slowUntilMs = nowMs + 300
        runningUntilMs.removeAll { it <= nowMs }
        waiting.filter { nowMs - it.arrivedMs >= PATIENCE_MS || queue.refuses(it, nowMs) }.forEach { giveUp(it, nowMs) }
        if (random.nextDouble() < loadFactor * PLACES / WORK_MS) arrive(nowMs)
        while (runningUntilMs.size < PLACES) begin(queue.first(nowMs) ?: break, nowMs)
    }

    private fun arrive(nowMs: Long) {
        offered++
        val job = Job(nowMs)
        val expectedMs = { if (runningUntilMs.size < PLACES) 0.0 else (queue.workAheadMs(job, nowMs) + WORK_MS / 2) / PLACES }
        job.expectWait(expectedMs(), nowMs)
        if (expectedMs() > PATIENCE_MS || queue.refuses(job, nowMs)) {
            refused++
            return
        }
        queue.add(job)
        waiting += job
    }

    private fun giveUp(job: Job, nowMs: Long) {
        queue.remove(job)
        waiting.remove(job)
        refused++
        heldInVainMs += nowMs - job.arrivedMs
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
        test("a long time of more load than the worker bears: most of its work is still answered in time") {
            class Case(val name: String, val loadFactor: Double, val slowShare: Double, val leastShare: Double)
            listOf(
                Case("a third too much", 1.3, 0.0, 0.9),
                Case("twice what it bears", 2.0, 0.0, 0.9),
                Case("at the knee, four times slower for 300 ms now and then", 1.0, 0.1, 0.6),
            ).forEach { case ->
                withClue(case.name) {
                    QueueRun(case.loadFactor, case.slowShare, seed = 20261204).shareOfCapacity() shouldBeGreaterThan
                        case.leastShare
                }
            }
        }

        test("a long time of more load than the worker bears: who is refused hears it soon") {
            listOf(1.3, 2.0).forEach { loadFactor ->
                withClue("load factor $loadFactor") {
                    QueueRun(loadFactor, slowShare = 0.0, seed = 20261204).meanHeldInVainMs() shouldBeLessThan OBJECTIVE_MS / 8.0
                }
            }
        }
    })
