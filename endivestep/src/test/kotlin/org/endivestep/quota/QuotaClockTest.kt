package org.endivestep.quota

import io.kotest.assertions.withClue
import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.shouldBe

class QuotaClockTest :
    FunSpec({
        // Guards against tokens that stay valid while the VM is suspended, when its monotonic clock stands still.
        test("the clock advances by the greater of the monotonic time and the time of day") {
            class Case(val name: String, val monotonicMs: Long, val timeOfDayMs: Long, val elapsedMs: Long)
            listOf(
                Case("in calm", 1_000, 1_000, 1_000),
                Case("rounding", 1_000, 1_001, 1_000),
                Case("suspended for 5 s", 1_000, 6_000, 6_000),
                Case("time of day set back", 1_000, -50_000, 1_000),
                Case("time of day set forward", 10, 3_600_000, 3_600_000),
            ).forEach { case ->
                var monotonic = 500L
                var timeOfDay = 1_700_000_000_000
                val clock = QuotaClock({ monotonic }, { timeOfDay })
                val before = clock.nowMs()
                monotonic += case.monotonicMs
                timeOfDay += case.timeOfDayMs
                withClue(case.name) { clock.nowMs() - before shouldBe case.elapsedMs }
                monotonic += 100
                timeOfDay += 100
                withClue("after: ${case.name}") { clock.nowMs() - before shouldBe case.elapsedMs + 100 }
            }
        }

        test("many readings add no time") {
            var halves = 0L
            val clock = QuotaClock({ halves / 2 }, { 1_000 + (halves + 1) / 2 })
            val before = clock.nowMs()
            repeat(20_000) {
                halves++
                clock.nowMs()
            }
            clock.nowMs() - before shouldBe 10_000
        }
    })
