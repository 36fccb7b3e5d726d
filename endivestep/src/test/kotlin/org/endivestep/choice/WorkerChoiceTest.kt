package org.endivestep.choice

import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.doubles.shouldBeGreaterThan
import io.kotest.matchers.doubles.shouldBeLessThan
import io.kotest.matchers.shouldBe
import org.endivestep.identity.DataCentreName
import org.endivestep.identity.KindName
import org.endivestep.identity.VmName
import org.endivestep.outcome.Load
import java.util.SplittableRandom

private val here = Locality(DataCentreName("haarlem"), "nl-west")
private val local = Candidate(VmName("local"), DataCentreName("haarlem"), "nl-west")
private val near = Candidate(VmName("near"), DataCentreName("leiden"), "nl-west")
private val far = Candidate(VmName("far"), DataCentreName("agadir"), "souss")

private const val FAST_MS = 10L
private const val SLOW_MS = 80L
private const val LIMIT = 20

/** 600 requests a second through one ingress; times are in ms. */
private class Simulation(private val workers: List<Candidate>) {
    private class RunningRequest(val worker: Candidate, val startMs: Long, val endMs: Long)

    private var nowMs = 0L
    private val view = LoadView { nowMs }
    private val random = SplittableRandom(20_261_204)
    private val policy = nearestTwoChoices(here, random, view)
    private val running = ArrayDeque<RunningRequest>()
    private val chosen = ArrayList<Pair<Long, Candidate>>()

    fun run(durationMs: Long, serviceMs: (Candidate) -> Long) {
        val untilMs = nowMs + durationMs
        while (nowMs < untilMs) {
            nowMs++
            completeFinished()
            if (random.nextInt(10) < 6) send(serviceMs)
        }
    }

    fun share(worker: Candidate, sinceMs: Long): Double {
        val recent = chosen.filter { it.first >= sinceMs }
        return recent.count { it.second == worker }.toDouble() / recent.size
    }

    private fun send(serviceMs: (Candidate) -> Long) {
        val worker = policy(RequestTraits(KindName("read")), workers)
        view.begin(worker.vm)
        running += RunningRequest(worker, nowMs, nowMs + serviceMs(worker))
        chosen += nowMs to worker
    }

    private fun completeFinished() {
        val finished = running.filter { it.endMs <= nowMs }
        running.removeAll(finished)
        finished.forEach { request ->
            val inFlight = running.count { it.worker == request.worker }
            view.end(request.worker.vm, KindName("read"), Load(inFlight, LIMIT), nowMs - request.startMs)
        }
    }
}

class WorkerChoiceTest :
    FunSpec({
        test("the nearest tier with free capacity is chosen") {
            data class Case(val used: Map<VmName, Double>, val chosen: Candidate)

            fun viewOf(used: Map<VmName, Double>) =
                LoadView { 0 }.also { view -> used.forEach { (vm, share) -> view.report(vm, Load((share * LIMIT).toInt(), LIMIT)) } }
            listOf(
                Case(emptyMap(), local),
                Case(mapOf(local.vm to 1.0), near),
                Case(mapOf(local.vm to 1.2, near.vm to 1.0), far),
                Case(mapOf(local.vm to 1.2, near.vm to 1.5, far.vm to 1.1), far),
            ).forEach { case ->
                val policy = nearestTwoChoices(here, SplittableRandom(1), viewOf(case.used))
                policy(RequestTraits(KindName("read")), listOf(far, near, local)) shouldBe case.chosen
            }
        }

        test("a worker that slows down gets less than 1 percent of requests, and its share again after it recovers") {
            val workers = List(3) { Candidate(VmName("w$it"), here.dataCentre, here.region) }
            val simulation = Simulation(workers)
            simulation.run(5_000) { FAST_MS }
            simulation.share(workers[0], sinceMs = 2_000) shouldBeGreaterThan 0.2
            simulation.run(5_000) { if (it == workers[0]) SLOW_MS else FAST_MS }
            simulation.share(workers[0], sinceMs = 6_000) shouldBeLessThan 0.01
            simulation.run(10_000) { FAST_MS }
            simulation.share(workers[0], sinceMs = 18_000) shouldBeGreaterThan 0.2
        }

        test("a reported load decays with age, the count of own requests does not") {
            var nowMs = 0L
            val view = LoadView { nowMs }
            view.begin(local.vm)
            view.report(local.vm, Load(inFlight = 10, limit = 10))
            view.utilisation(local.vm) shouldBe 1.0
            nowMs = 2_000
            view.utilisation(local.vm) shouldBeLessThan 0.2
            view.utilisation(local.vm) shouldBeGreaterThan 0.09
        }

        test("a worker that failed is avoided only for the given time") {
            var nowMs = 0L
            val view = LoadView { nowMs }
            view.avoid(local.vm, 1_000)
            view.utilisation(local.vm) shouldBeGreaterThan 1.0
            nowMs = 1_001
            view.utilisation(local.vm) shouldBe 0.0
        }
    })
