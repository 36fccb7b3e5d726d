package org.endivestep.choice

import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.doubles.shouldBeGreaterThan
import io.kotest.matchers.doubles.shouldBeLessThan
import io.kotest.matchers.shouldBe
import org.endivestep.identity.DataCentreName
import org.endivestep.identity.KindName
import org.endivestep.identity.VmName
import org.endivestep.outcome.Load
import java.util.PriorityQueue
import java.util.SplittableRandom

private val read = KindName("read")
private const val USUAL_MS = 160.0

/** Workers whose VM is four times slower in a random quarter of all 300 ms spans; requests on it do not slow each other. */
private class NoisyWorkers(count: Int, seed: Long) {
    val candidates = List(count) { Candidate(VmName("vm-$it"), DataCentreName("dc-$it"), "region") }
    private val random = SplittableRandom(seed)
    private val spans = HashMap<Pair<VmName, Long>, Int>()

    fun slowness(vm: VmName, nowMs: Long): Int = spans.getOrPut(vm to nowMs / 300) { if (random.nextInt(4) == 0) 400 else 100 }

    fun finishMs(vm: VmName, startMs: Long): Long {
        var left = USUAL_MS
        var nowMs = startMs
        while (left > 0) {
            left -= 100.0 / slowness(vm, nowMs)
            nowMs++
        }
        return nowMs
    }
}

private fun meanMs(seed: Long, choose: (CompletionEstimates, NoisyWorkers) -> Candidate): Double {
    var nowMs = 0L
    val workers = NoisyWorkers(4, seed)
    val estimates = CompletionEstimates(KindProfiles()) { nowMs }
    val running = PriorityQueue<Pair<Long, Candidate>>(compareBy { it.first })
    var total = 0L
    repeat(3_000) {
        nowMs += 20
        while (running.isNotEmpty() && running.peek().first <= nowMs) {
            val vm = running.poll().second.vm
            estimates.end(vm, read, null, null)
        }
        workers.candidates.forEach { worker ->
            val inFlight = running.count { it.second == worker }
            estimates.report(worker.vm, Load(inFlight, 14, 0, workers.slowness(worker.vm, nowMs - 30)))
        }
        val chosen = choose(estimates, workers)
        estimates.begin(chosen.vm)
        val finishMs = workers.finishMs(chosen.vm, nowMs)
        running += finishMs to chosen
        total += finishMs - nowMs
    }
    return total / 3_000.0
}

class CompletionEstimatesTest :
    FunSpec({
        test("with VMs four times slower for 300 ms, earliest completion is at least 10 percent faster than round robin") {
            listOf(1L, 2L, 3L).forEach { seed ->
                var next = 0
                val roundRobinMs = meanMs(seed) { _, workers -> workers.candidates[next++ % workers.candidates.size] }
                val here = Locality(DataCentreName("dc-0"), "region")
                val earliestCompletionMs =
                    meanMs(seed) { estimates, workers -> earliestCompletion(here, estimates)(RequestTraits(read), workers.candidates) }
                earliestCompletionMs shouldBeLessThan roundRobinMs * 0.9
            }
        }

        test("another data centre is chosen only when it is faster by more than the cost of its distance") {
            class Case(val name: String, val local: Load, val far: Load, val chosen: String)
            val here = Locality(DataCentreName("near"), "region")
            val near = Candidate(VmName("near"), DataCentreName("near"), "region")
            val far = Candidate(VmName("far"), DataCentreName("far"), "region")
            listOf(
                Case("both idle", Load(0, 14, 0, 100), Load(0, 14, 0, 100), "near"),
                Case("half full here", Load(7, 14, 0, 100), Load(0, 14, 0, 100), "near"),
                Case("a queue here", Load(14, 14, 10, 100), Load(0, 14, 0, 100), "far"),
                Case("slow here", Load(2, 14, 0, 400), Load(2, 14, 0, 100), "far"),
                Case("slow everywhere", Load(2, 14, 0, 400), Load(2, 14, 0, 400), "near"),
            ).forEach { case ->
                val profiles = KindProfiles()
                profiles.observed(read, USUAL_MS)
                val estimates = CompletionEstimates(profiles) { 0 }
                estimates.report(near.vm, case.local)
                estimates.report(far.vm, case.far)
                io.kotest.assertions.withClue(case.name) {
                    earliestCompletion(here, estimates)(RequestTraits(read, bytes = 3_000), listOf(near, far)).vm.text shouldBe case.chosen
                }
            }
        }

        test("a request with more time until its answer is late waits longer before it crosses to another data centre") {
            class Case(val objectiveMs: Long, val bytes: Long, val waiting: Int, val chosen: String)
            val here = Locality(DataCentreName("near"), "region")
            val near = Candidate(VmName("near"), DataCentreName("near"), "region")
            val far = Candidate(VmName("far"), DataCentreName("far"), "region")
            listOf(
                Case(objectiveMs = 80, bytes = 1_000, waiting = 14, chosen = "far"),
                Case(objectiveMs = 500, bytes = 1_000, waiting = 14, chosen = "far"),
                Case(objectiveMs = 8_000, bytes = 1_000, waiting = 14, chosen = "near"),
                Case(objectiveMs = 8_000, bytes = 1_000, waiting = 140, chosen = "far"),
                Case(objectiveMs = 500, bytes = 20_000, waiting = 14, chosen = "near"),
            ).forEach { case ->
                val estimates = CompletionEstimates(KindProfiles().also { it.observed(read, USUAL_MS) }) { 0 }
                estimates.report(near.vm, Load(14, 14, case.waiting, 100))
                estimates.report(far.vm, Load(0, 14, 0, 100))
                val request = RequestTraits(read, case.bytes, case.objectiveMs)
                io.kotest.assertions.withClue("${case.objectiveMs} ms, ${case.bytes} bytes, ${case.waiting} waiting") {
                    earliestCompletion(here, estimates)(request, listOf(near, far)).vm.text shouldBe case.chosen
                }
            }
        }

        test("a full worker without new reports is tried again") {
            val here = Locality(DataCentreName("near"), "region")
            val near = Candidate(VmName("near"), DataCentreName("near"), "region")
            val far = Candidate(VmName("far"), DataCentreName("far"), "region")
            var nowMs = 0L
            val estimates = CompletionEstimates(KindProfiles().also { it.observed(read, USUAL_MS) }) { nowMs }
            estimates.report(near.vm, Load(14, 14, 10, 100))
            estimates.report(far.vm, Load(0, 14, 0, 100))
            val choose = { earliestCompletion(here, estimates)(RequestTraits(read), listOf(near, far)).vm.text }
            choose() shouldBe "far"
            nowMs = 2_500
            choose() shouldBe "near"
        }

        test("a local worker last reported idle is still preferred after a long time without reports") {
            val here = Locality(DataCentreName("near"), "region")
            val near = Candidate(VmName("near"), DataCentreName("near"), "region")
            val far = Candidate(VmName("far"), DataCentreName("far"), "region")
            var nowMs = 0L
            val estimates = CompletionEstimates(KindProfiles().also { it.observed(read, 5.0) }) { nowMs }
            estimates.report(near.vm, Load(0, 14))
            nowMs = 60_000
            estimates.report(far.vm, Load(0, 14))
            earliestCompletion(here, estimates)(RequestTraits(read), listOf(near, far)).vm.text shouldBe "near"
        }

        test("a request that begins on a slow VM takes longer, but less than if the VM stayed slow") {
            val slow = completionMs(USUAL_MS, 400)
            slow shouldBeGreaterThan completionMs(USUAL_MS, 100)
            slow shouldBeLessThan USUAL_MS * 4
        }
    })
