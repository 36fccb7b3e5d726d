package org.endivestep.admission

import io.kotest.assertions.assertSoftly
import io.kotest.assertions.withClue
import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.doubles.shouldBeGreaterThan
import io.kotest.matchers.doubles.shouldBeLessThan

private const val SEED = 20261206L

private val patterns =
    listOf(
        LoadPattern("usual load"),
        LoadPattern("a crowd of one team, 3 times", crowdFactor = 3.0),
        LoadPattern("a crowd of one team, 5 times", crowdFactor = 5.0),
        LoadPattern("a crowd of one team, 7.5 times", crowdFactor = 7.5),
        LoadPattern("unhurried requests, 2.4 times", kindFactors = mapOf(SimulatedKind.UNHURRIED to 2.4)),
        LoadPattern("urgent requests, 1.8 times", kindFactors = mapOf(SimulatedKind.URGENT to 1.8)),
        LoadPattern("unhurried 2.4 and urgent 1.8 times", kindFactors = mapOf(SimulatedKind.UNHURRIED to 2.4, SimulatedKind.URGENT to 1.8)),
        LoadPattern("urgent requests, 6 times", kindFactors = mapOf(SimulatedKind.URGENT to 6.0)),
        LoadPattern("half of the workers killed", killsHalf = true),
        LoadPattern("a crowd of 5 times, half of the workers killed", crowdFactor = 5.0, killsHalf = true),
        LoadPattern("workers with noisy times", noisy = true),
        LoadPattern("a crowd of 5 times, noisy times", crowdFactor = 5.0, noisy = true),
    )

private fun run(order: ServiceOrder, pattern: LoadPattern) = CapacitySimulation(order, pattern, SEED).run()

/** The least that the order with teams must reach, and how much better than today's it must treat quiet teams. */
private class Expected(val pattern: String, val quietGain: Double, val creditLoss: Double, val leastKind: Double, val refusedSoon: Double)

private val expectations =
    listOf(
        Expected("usual load", -0.01, 0.01, 0.9, 0.0),
        Expected("a crowd of one team, 3 times", 0.03, 0.02, 0.6, 0.5),
        Expected("a crowd of one team, 5 times", 0.02, 0.03, 0.25, 0.6),
        // The floor of a tenth is less than a quarter of what this crowd sends of the lowest priority; without it, 0.01 is served.
        Expected("a crowd of one team, 7.5 times", 0.08, 0.03, 0.18, 0.7),
        Expected("unhurried requests, 2.4 times", 0.03, 0.02, 0.5, 0.7),
        Expected("urgent requests, 1.8 times", 0.0, 0.01, 0.8, 0.4),
        Expected("unhurried 2.4 and urgent 1.8 times", 0.02, 0.01, 0.4, 0.6),
        Expected("urgent requests, 6 times", 0.02, 0.08, 0.25, 0.5),
        Expected("half of the workers killed", 0.0, 0.02, 0.5, 0.6),
        Expected("a crowd of 5 times, half of the workers killed", 0.02, 0.03, 0.25, 0.7),
        Expected("workers with noisy times", -0.01, 0.01, 0.8, 0.2),
        Expected("a crowd of 5 times, noisy times", 0.03, 0.02, 0.25, 0.5),
    ).associateBy { it.pattern }

class CapacityPatternsTest :
    FunSpec({
        // Guards against a crowd of one team, or a flood of one kind, that takes the workers from the others; and against late refusals.
        test("under each pattern of load, no team or kind starves, quiet teams gain beside a crowd, and refusals come soon") {
            val played = patterns.associateWith { pattern -> ServiceOrder.entries.associateWith { run(it, pattern) } }
            played.forEach { (pattern, results) ->
                println(pattern.name)
                results.forEach { (order, result) -> println("  %-14s %s".format(order.name.lowercase(), result)) }
            }
            played.forEach { (pattern, results) ->
                val expected = expectations.getValue(pattern.name)
                val withTeams = results.getValue(ServiceOrder.WITH_TEAMS)
                val without = results.getValue(ServiceOrder.WITHOUT_TEAMS)
                withClue("${pattern.name}: $withTeams; without: $without") {
                    assertSoftly {
                        withTeams.leastTeamRatio shouldBeGreaterThan 0.25
                        withTeams.leastKindRatio shouldBeGreaterThan expected.leastKind
                        withTeams.quietCredit shouldBeGreaterThan without.quietCredit + expected.quietGain
                        withTeams.credit shouldBeGreaterThan without.credit - expected.creditLoss
                        withTeams.refusedSoonShare shouldBeGreaterThan expected.refusedSoon
                        withTeams.lostShare shouldBeLessThan 0.01
                    }
                }
            }
        }
    })
