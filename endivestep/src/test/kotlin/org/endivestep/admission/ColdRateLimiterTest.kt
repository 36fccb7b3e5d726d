package org.endivestep.admission

import io.kotest.assertions.withClue
import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.ints.shouldBeGreaterThanOrEqual
import io.kotest.matchers.ints.shouldBeLessThanOrEqual
import io.kotest.matchers.shouldBe

private fun sends(limiter: ColdRateLimiter, fromMs: Long, untilMs: Long): List<Long> =
    (fromMs until untilMs).flatMap { nowMs ->
        generateSequence { if (limiter.delayMs(nowMs) == 0L) nowMs.also { limiter.recordSent(it) } else null }.take(100).toList()
    }

class ColdRateLimiterTest :
    FunSpec({
        test("a cold worker gets no more than its rate in any second, regardless of the rate before it turned cold") {
            class Case(val perSecond: Double, val warmPerSecond: Int)
            listOf(Case(18.0, 0), Case(18.0, 40), Case(5.9, 12), Case(0.5, 3)).forEach { case ->
                val limiter = ColdRateLimiter()
                val warmSends = (0 until 1_000L step (1_000L / maxOf(1, case.warmPerSecond))).filter { case.warmPerSecond > 0 }
                warmSends.forEach(limiter::recordSent)
                limiter.limitUntil(untilMs = 5_000, perSecond = case.perSecond)
                val cold = sends(limiter, 1_000, 5_000)
                (1_000L..4_000L step 50).forEach { startMs ->
                    val inSecond = cold.count { it in startMs until startMs + 1_000 }
                    withClue("from $startMs at ${case.perSecond}") {
                        inSecond shouldBeLessThanOrEqual maxOf(1, case.perSecond.toInt())
                    }
                }
                // It is not starved either: over 4 s it receives most of what its rate allows.
                cold.size shouldBeGreaterThanOrEqual (case.perSecond * 3).toInt().coerceAtLeast(1) - case.warmPerSecond
            }
        }

        test("a warm worker is not rate-limited") {
            val limiter = ColdRateLimiter()
            limiter.limitUntil(untilMs = 1_000, perSecond = 1.0)
            sends(limiter, 1_000, 1_001).size shouldBeGreaterThanOrEqual 100
        }

        test("a cold worker receives nothing in the first window after a start, since the run before may have used its rate up") {
            class Case(val name: String, val coldUntilMs: Long, val perSecond: Double)
            listOf(
                Case("cold for long", 5_000, 46.0),
                Case("cold for longer", 10_700, 46.0),
                Case("slow", 20_000, 5.9),
            ).forEach { case ->
                val limiter = ColdRateLimiter(startedMs = 10_000)
                limiter.limitUntil(case.coldUntilMs + 10_000, case.perSecond)
                withClue(case.name) { sends(limiter, 10_000, 11_000) shouldBe emptyList() }
                // With what the run before sent in its last second, no second holds more than the rate.
                val sent = List(case.perSecond.toInt()) { 9_999L } + sends(limiter, 11_000, 14_000)
                (9_500L..13_000L step 50).forEach { startMs ->
                    val inSecond = sent.count { it in startMs until startMs + 1_000 }
                    withClue("${case.name} from $startMs") { inSecond shouldBeLessThanOrEqual case.perSecond.toInt() }
                }
            }
        }
    })
