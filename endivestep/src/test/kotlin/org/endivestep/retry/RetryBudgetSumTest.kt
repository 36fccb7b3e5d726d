package org.endivestep.retry

import io.kotest.assertions.withClue
import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.ints.shouldBeLessThanOrEqual
import io.kotest.property.Arb
import io.kotest.property.arbitrary.int
import io.kotest.property.arbitrary.list
import io.kotest.property.checkAll
import org.endivestep.document.RetrySettings
import org.endivestep.fakes.fuzz

// What the platform allows over all daemons, and what each daemon gets of it.
private const val ALLOWED_RATIO = 0.2
private const val ALLOWED_SLACK = 60
private const val DAEMONS = 16
private val settings = RetrySettings(ratio = ALLOWED_RATIO / 2, reserve = 2, maxAttempts = 3)

class RetryBudgetSumTest :
    FunSpec({
        test("however requests are split over the daemons, all retries together stay within the ratio and the slack") {
            checkAll(fuzz(), Arb.list(Arb.int(0 until DAEMONS), 0..400)) { requests ->
                val budgets = List(DAEMONS) { RetryBudget(settings) }
                var retries = 0
                requests.forEach { daemon ->
                    val budget = budgets[daemon]
                    // Each request is sent again as often as the budget lets it, and answered in the end.
                    while (budget.trySpend()) retries++
                    budget.noteAnswered()
                }
                budgets.forEach { budget -> while (budget.trySpend()) retries++ }
                withClue("${requests.size} requests") {
                    retries shouldBeLessThanOrEqual (ALLOWED_RATIO * requests.size).toInt() + ALLOWED_SLACK
                }
            }
        }
    })
