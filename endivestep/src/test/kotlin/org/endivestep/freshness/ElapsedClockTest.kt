package org.endivestep.freshness

import io.kotest.assertions.withClue
import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.longs.shouldBeInRange
import io.kotest.matchers.shouldBe

/** What happens to a VM for [realMs] of real time: its monotonic clock and its time of day advance by different times. */
private class Period(val realMs: Long, val monotonicMs: Long = realMs, val timeOfDayMs: Long = realMs)

class ElapsedClockTest :
    FunSpec({
        // Guards against proofs that seem young because one of the two clocks did not count a part of the time.
        test("the clock never counts less than the real time, and more only when the time of day is set forward") {
            class Case(val name: String, val periods: List<Period>, val countedMs: Long)
            listOf(
                Case("nothing", listOf(Period(10_000)), countedMs = 10_000),
                Case("a suspension", listOf(Period(50), Period(10_000, monotonicMs = 0), Period(50)), countedMs = 10_100),
                Case("time set back", listOf(Period(500), Period(0, timeOfDayMs = -60_000), Period(500)), countedMs = 1_000),
                Case("time set forward", listOf(Period(500), Period(0, timeOfDayMs = 60_000), Period(500)), countedMs = 61_000),
                Case(
                    "time set back, and later a suspension",
                    listOf(Period(0, timeOfDayMs = -60_000), Period(200), Period(10_000, monotonicMs = 0)),
                    countedMs = 10_200,
                ),
                Case(
                    "a suspension, and later time set back",
                    listOf(Period(10_000, monotonicMs = 0), Period(200), Period(0, timeOfDayMs = -60_000), Period(200)),
                    countedMs = 10_400,
                ),
            ).forEach { case ->
                var monotonicMs = 5L
                var timeOfDayMs = 1_000_000L
                val clock = ElapsedClock({ monotonicMs }, { timeOfDayMs })
                case.periods.forEach {
                    monotonicMs += it.monotonicMs
                    timeOfDayMs += it.timeOfDayMs
                    clock.nowMs()
                }
                withClue(case.name) { clock.nowMs() shouldBe case.countedMs }
            }
        }

        // Guards against a clock that runs fast when it is read often, because the clocks change their ms at different moments.
        test("frequent readings add at most 2 in 100") {
            var micros = 0L
            val clock = ElapsedClock({ micros / 1_000 }, { (micros + 500) / 1_000 })
            repeat(100_000) {
                micros += 100
                clock.nowMs()
            }
            clock.nowMs() shouldBeInRange 10_000L..10_200L
        }
    })
