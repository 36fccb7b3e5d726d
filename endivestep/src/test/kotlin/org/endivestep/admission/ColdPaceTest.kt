package org.endivestep.admission

import io.kotest.assertions.withClue
import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.ints.shouldBeGreaterThanOrEqual
import io.kotest.matchers.ints.shouldBeLessThanOrEqual

private fun sends(pace: ColdPace, fromMs: Long, untilMs: Long): List<Long> =
    (fromMs until untilMs).flatMap { nowMs ->
        generateSequence { if (pace.delayMs(nowMs) == 0L) nowMs.also { pace.sent(it) } else null }.take(100).toList()
    }

class ColdPaceTest :
    FunSpec({
        test("a cold worker gets no more than it bears in any second, whatever it got before it turned cold") {
            class Case(val perSecond: Double, val warmPerSecond: Int)
            listOf(Case(18.0, 0), Case(18.0, 40), Case(5.9, 12), Case(0.5, 3)).forEach { case ->
                val pace = ColdPace()
                val warm = (0 until 1_000L step (1_000L / maxOf(1, case.warmPerSecond))).filter { case.warmPerSecond > 0 }
                warm.forEach(pace::sent)
                pace.cold(untilMs = 5_000, perSecond = case.perSecond)
                val cold = sends(pace, 1_000, 5_000)
                (1_000L..4_000L step 50).forEach { startMs ->
                    val inSecond = cold.count { it in startMs until startMs + 1_000 }
                    withClue("from $startMs at ${case.perSecond}") {
                        inSecond shouldBeLessThanOrEqual maxOf(1, case.perSecond.toInt())
                    }
                }
                // It is not starved either: over 4 s it gets most of what it bears.
                cold.size shouldBeGreaterThanOrEqual (case.perSecond * 3).toInt().coerceAtLeast(1) - case.warmPerSecond
            }
        }

        test("a worker that is warm is not paced") {
            val pace = ColdPace()
            pace.cold(untilMs = 1_000, perSecond = 1.0)
            sends(pace, 1_000, 1_001).size shouldBeGreaterThanOrEqual 100
        }
    })
