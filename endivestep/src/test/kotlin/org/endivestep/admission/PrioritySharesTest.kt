package org.endivestep.admission

import io.kotest.assertions.withClue
import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.doubles.plusOrMinus
import io.kotest.matchers.doubles.shouldBeBetween
import io.kotest.matchers.shouldBe

class PrioritySharesTest :
    FunSpec({
        test("under a flood of a higher priority, each lower priority with requests of teams keeps about a tenth of the work") {
            class Case(val name: String, val lower: List<Int>, val workMs: Double)
            listOf(
                Case("one lower priority, short requests", listOf(1), 59.0),
                Case("one lower priority, long requests", listOf(2), 190.0),
                Case("two lower priorities", listOf(1, 2), 110.0),
            ).forEach { case ->
                val shares = PriorityShares()
                case.lower.forEach(shares::recordArrival)
                val begunMs = HashMap<Int, Double>()
                repeat(5_000) { request ->
                    val next = case.lower.filter { shares.creditMs(it) >= case.workMs }.maxByOrNull(shares::creditMs) ?: 0
                    shares.recordBegun(next, case.workMs, hasLead = false, nowMs = request * 30L)
                    begunMs.merge(next, case.workMs, Double::plus)
                }
                case.lower.forEach {
                    val share = begunMs.getValue(it) / begunMs.values.sum()
                    withClue("${case.name}, priority $it: $share") { share.shouldBeBetween(0.08, 0.12, 0.0) }
                }
            }
        }

        test("without requests of teams, no priority has a floor") {
            val shares = PriorityShares()
            repeat(1_000) { shares.recordBegun(0, 100.0, hasLead = false, nowMs = it * 25L) }
            (1..9).forEach { shares.creditMs(it) shouldBe 0.0 }
        }

        test("what is left to a request is what those before it don't take, and at least the floor") {
            class Case(val name: String, val priority: Int, val hasLead: Boolean, val remaining: Double)
            // On 4 slots, priority 0 takes half of the time, and teams without a lead a quarter with priority 1.
            val shares = PriorityShares()
            repeat(500) {
                shares.recordBegun(0, 100.0, hasLead = false, nowMs = it * 50L)
                shares.recordBegun(1, 50.0, hasLead = false, nowMs = it * 50L)
            }
            listOf(
                Case("the highest priority", 0, false, 1.0),
                Case("the lower priority", 1, false, 0.5),
                Case("the lower priority, of a team that is ahead", 1, true, 0.25),
                Case("the lowest priority", 2, false, 0.25),
            ).forEach { case ->
                withClue(case.name) {
                    shares.remainingShare(case.priority, case.hasLead, 4, nowMs = 25_000) shouldBe
                        (case.remaining plusOrMinus 0.06)
                }
            }
            shares.remainingShare(2, hasLead = false, slots = 1, nowMs = 25_000) shouldBe 0.1
            shares.remainingShare(2, hasLead = false, slots = 4, nowMs = 40_000) shouldBe (1.0 plusOrMinus 0.01)
        }
    })
