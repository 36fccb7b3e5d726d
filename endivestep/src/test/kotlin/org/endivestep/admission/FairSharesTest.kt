package org.endivestep.admission

import io.kotest.assertions.withClue
import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.doubles.shouldBeBetween
import io.kotest.matchers.doubles.shouldBeLessThanOrEqual
import io.kotest.matchers.ints.shouldBeLessThanOrEqual
import io.kotest.matchers.shouldBe
import org.endivestep.identity.TeamName

private val none = Double.POSITIVE_INFINITY

private fun team(number: Int) = TeamName("team-$number")

/** Returns the work that each team got when those of [workMs] always have a request waiting and the one with the least lead begins. */
private fun serve(shares: FairShares, workMs: List<Double>, requests: Int): List<Double> {
    val served = MutableList(workMs.size) { 0.0 }
    repeat(requests) {
        val next = workMs.indices.minBy { shares.leadMs(team(it)) }
        shares.recordBegun(team(next), workMs[next], workMs.indices.minOf { shares.leadMs(team(it)) })
        served[next] += workMs[next]
    }
    return served
}

class FairSharesTest :
    FunSpec({
        test("teams that always wait get equal work, whatever the work of one request") {
            class Case(val name: String, val workMs: List<Double>)
            listOf(
                Case("equal requests", listOf(100.0, 100.0, 100.0)),
                Case("short and long requests", listOf(59.0, 190.0)),
                Case("many teams", List(75) { 59.0 + it }),
            ).forEach { case ->
                val served = serve(FairShares(), case.workMs, requests = 20 * case.workMs.size)
                val mean = served.average()
                served.forEach { withClue("${case.name}: $served") { it.shouldBeBetween(mean - 200, mean + 200, 0.0) } }
            }
        }

        test("a team that was idle neither waits behind another's backlog nor has saved up shares") {
            val shares = FairShares()
            serve(shares, listOf(100.0), requests = 50)
            shares.leadMs(team(0)) shouldBe 100.0
            shares.leadMs(team(1)) shouldBe 0.0
            // From now on both have requests: the idle team doesn't catch up the 50 requests.
            serve(shares, listOf(100.0, 100.0), requests = 20) shouldBe listOf(1_000.0, 1_000.0)
        }

        test("what a team used of free slots doesn't count once nobody has waited for a while") {
            val shares = FairShares()
            repeat(4) { shares.recordBegun(team(0), 190.0, none) }
            shares.leadMs(team(0)) shouldBe 190.0
            shares.recordCalm(elapsedMs = 200)
            shares.leadMs(team(0)) shouldBe 0.0
        }

        test("the state is bounded, and so is the time for which a team yields") {
            val shares = FairShares()
            repeat(1_000) { shares.recordBegun(team(it), 100.0, leastWaitingLeadMs = 0.0) }
            shares.teamCount shouldBeLessThanOrEqual 256
            repeat(1_000) { shares.recordBegun(team(0), 100.0, leastWaitingLeadMs = 0.0) }
            shares.leadMs(team(0)) shouldBeLessThanOrEqual 3_000.0
        }
    })
