package org.endivestep.choice

import io.kotest.assertions.withClue
import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.doubles.shouldBeGreaterThan
import io.kotest.matchers.doubles.shouldBeLessThan
import io.kotest.matchers.doubles.shouldBeLessThanOrEqual
import io.kotest.matchers.longs.shouldBeLessThanOrEqual
import org.endivestep.fakes.LoadPattern
import org.endivestep.fakes.LoadResult
import org.endivestep.fakes.SimulatedChoice
import org.endivestep.fakes.SimulatedChoiceFactory
import org.endivestep.fakes.UnevenLoadSimulation
import java.util.Random
import kotlin.random.asKotlinRandom

private const val EXTRA_SHARE = 0.05
private const val SEED = 11L
private const val OVERLOAD = 1.4

private fun earliest(maxCompared: Int): SimulatedChoiceFactory = { locality, clockMs, random ->
    val estimates = CompletionEstimates(KindProfiles(), clockMs)
    val choose = earliestCompletion(locality, estimates, Random(random.nextLong()).asKotlinRandom(), maxCompared)
    SimulatedChoice(estimates, estimates::report, choose, estimates::secondAttemptMs)
}

private val earliest: SimulatedChoiceFactory = earliest(maxCompared = 8)
private val earliestOfAll: SimulatedChoiceFactory = earliest(maxCompared = Int.MAX_VALUE)

private val twoChoices: SimulatedChoiceFactory = { locality, clockMs, random ->
    val view = LoadView(clockMs)
    SimulatedChoice(view, view::report, nearestTwoChoices(locality, random, view))
}

private val leastConnections: SimulatedChoiceFactory = { locality, clockMs, random ->
    val view = LoadView(clockMs)
    val choose: ChoicePolicy = { _, candidates ->
        val local = candidates.filter { it.dataCentre == locality.dataCentre && view.utilisation(it.vm) < 1.0 }
        local.ifEmpty { candidates }.minBy { view.utilisation(it.vm) + random.nextDouble() * TIE }
    }
    SimulatedChoice(view, view::report, choose)
}

private const val TIE = 0.001

private fun run(pattern: LoadPattern, choice: SimulatedChoiceFactory, extraShare: Double = 0.0): LoadResult =
    UnevenLoadSimulation(pattern, extraShare, SEED, choice).run()

/** Means of several runs, because the slowest responses of single runs vary. */
private class MeanResult(results: List<LoadResult>) {
    val inTimeShare = results.map { it.inTimeShare }.average()
    val p50 = results.map { it.p50 }.average()
    val p99 = results.map { it.p99 }.average()
    val crossingShare = results.map { it.crossingShare }.average()
    private val busiest = results.map { it.busiest }.average()

    override fun toString(): String =
        "in time %6.2f%%  p50 %5.1f  p99 %6.1f  busiest/mean %4.2f  crossings %5.1f%%"
            .format(inTimeShare * 100, p50, p99, busiest, crossingShare * 100)
}

private val SEEDS = listOf(5L, 6L, 7L)

private fun mean(pattern: LoadPattern, choice: SimulatedChoiceFactory) =
    MeanResult(SEEDS.map { UnevenLoadSimulation(pattern, 0.0, it, choice).run() })

private class Compared(val pattern: LoadPattern) {
    val two = run(pattern, twoChoices)
    val least = run(pattern, leastConnections)
    val plain = run(pattern, earliest)
    val hedged = run(pattern, earliest, EXTRA_SHARE)

    fun print() {
        println("uneven load, ${pattern.name}: ${pattern.workers.sum()} daemons, load ${pattern.load}, ${plain.requests} requests")
        println("  two random choices   ${two.line()}")
        println("  least connections    ${least.line()}")
        println("  earliest completion  ${plain.line()}")
        println("  and second attempts  ${hedged.line()}")
    }
}

class HedgedLoadTest :
    FunSpec({
        val patterns =
            listOf(
                LoadPattern("calm"),
                LoadPattern("calm, slow requests slow everywhere", slowByRequest = true),
                LoadPattern("waves", waves = true),
                LoadPattern("noisy", noisy = true),
                LoadPattern("flapping", flapping = true),
                LoadPattern("all at once", waves = true, noisy = true, flapping = true, load = 0.4),
                LoadPattern("all, stale reports", waves = true, noisy = true, flapping = true, load = 0.4, staleMs = 500),
                LoadPattern("all, three daemons", listOf(1, 1, 1), 0.4, waves = true, noisy = true),
                LoadPattern("all, 60 daemons", listOf(30, 20, 10), 0.4, waves = true, noisy = true, flapping = true, durationMs = 16_000),
                LoadPattern("all, 300 daemons", listOf(150, 100, 50), 0.4, true, true, true, durationMs = 9_000, reportIntervalMs = 200),
            )

        // Guards against second attempts that cost more than they cut from the slowest responses.
        test("second attempts cut the slowest responses, within their share, under each pattern") {
            patterns.forEach { pattern ->
                val compared = Compared(pattern).also { it.print() }
                withClue(pattern.name) {
                    val (plain, hedged) = compared.plain to compared.hedged
                    hedged.secondShare shouldBeLessThanOrEqual EXTRA_SHARE
                    hedged.inTimeShare shouldBeGreaterThan plain.inTimeShare - 0.005
                    hedged.p99 shouldBeLessThanOrEqual (plain.p99 * 1.03).toLong()
                    hedged.workMs shouldBeLessThan plain.workMs * 1.10
                }
            }
        }

        // Guards against daemons that all choose the same worker, because they compare all workers by the same reports.
        test("comparing few random workers serves no pattern worse than comparing all, and a large service better") {
            class Case(val pattern: LoadPattern, val isLarge: Boolean = false)
            val all = LoadPattern("", listOf(30, 20, 10), 0.4, waves = true, noisy = true, flapping = true, durationMs = 12_000)
            listOf(
                Case(LoadPattern("calm")),
                Case(LoadPattern("waves", load = 0.7, waves = true)),
                Case(LoadPattern("noisy", noisy = true)),
                Case(LoadPattern("all, stale reports", load = 0.4, waves = true, noisy = true, flapping = true, staleMs = 500)),
                Case(LoadPattern("noisy, 300 daemons", noisy = true, callers = 300)),
                Case(LoadPattern("calm, 60 workers", listOf(30, 20, 10), durationMs = 12_000), isLarge = true),
                Case(all.copy(name = "all, 60 workers"), isLarge = true),
            ).forEach { case ->
                val before = mean(case.pattern, earliestOfAll)
                val now = mean(case.pattern, earliest)
                println("choice, ${case.pattern.name}, mean of ${SEEDS.size} runs\n  of all    $before\n  of eight  $now")
                withClue(case.pattern.name) {
                    now.inTimeShare shouldBeGreaterThan before.inTimeShare - 0.002
                    now.p50 shouldBeLessThan before.p50 * if (case.isLarge) 0.95 else 1.01
                    now.p99 shouldBeLessThan before.p99 * 1.03
                    now.crossingShare shouldBeLessThan before.crossingShare + 0.03
                }
            }
        }

        // Guards against second attempts that add work where there is too much already.
        test("load beyond capacity gives no more work with second attempts than without") {
            listOf(
                LoadPattern("overload", load = OVERLOAD),
                LoadPattern("overload, noisy, stale reports", load = OVERLOAD, noisy = true, staleMs = 500),
                LoadPattern("overload, three daemons", listOf(1, 1, 1), load = OVERLOAD),
            ).forEach { pattern ->
                val plain = run(pattern, earliest)
                val hedged = run(pattern, earliest, EXTRA_SHARE)
                println("uneven load, ${pattern.name}: ${plain.requests} requests")
                println("  earliest completion  ${plain.line()}")
                println("  and second attempts  ${hedged.line()}")
                withClue(pattern.name) {
                    hedged.workMs shouldBeLessThanOrEqual plain.workMs * 1.01
                    hedged.secondShare shouldBeLessThan 0.005
                    hedged.failedShare shouldBeLessThan plain.failedShare + 0.01
                }
            }
        }
    })
