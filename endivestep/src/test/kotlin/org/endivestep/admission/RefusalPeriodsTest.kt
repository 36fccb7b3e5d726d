package org.endivestep.admission

import io.kotest.assertions.withClue
import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.shouldBe

class RefusalPeriodsTest :
    FunSpec({
        test("the start and the end of refusals are told once, however many requests are refused") {
            class Case(val name: String, val decisions: List<Pair<Long, Boolean>>, val changes: List<RefusalChange?>)
            listOf(
                Case("nothing refused", listOf(0L to false, 9_000L to false), listOf(null, null)),
                Case(
                    "refusals and then none",
                    listOf(0L to true, 4_000L to false, 4_500L to true, 9_000L to false, 9_500L to false, 9_600L to false),
                    listOf(RefusalChange.Started, null, null, null, RefusalChange.Ended(2, 4_500), null),
                ),
                Case(
                    "a refusal long after others ends their period, and the next one belongs to its own",
                    listOf(0L to true, 7_000L to true, 7_100L to true, 20_000L to false),
                    listOf(RefusalChange.Started, RefusalChange.Ended(1, 0), null, RefusalChange.Ended(2, 100)),
                ),
            ).forEach { case ->
                val periods = RefusalPeriods()
                withClue(case.name) { case.decisions.map { (atMs, refused) -> periods.record(refused, atMs) } shouldBe case.changes }
            }
        }
    })
