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

// Retries that the platform allows over all daemons, and the settings of each daemon.
private const val ALLOWED_RATIO = 0.2
private const val ALLOWED_SLACK = 60
private const val DAEMONS = 16
private val settings = RetrySettings(ratio = ALLOWED_RATIO / 2, reserve = 2, maxAttempts = 3)

class RetryBudgetSumTest :
    FunSpec({
        test("the retries of all daemons stay within the ratio and the slack, however requests are distributed") {
            checkAll(fuzz(), Arb.list(Arb.int(0 until DAEMONS), 0..400)) { requests ->
                val budgets = List(DAEMONS) { RetryBudget(settings) }
                var retries = 0
                requests.forEach { daemon ->
                    val budget = budgets[daemon]
                    // Each request is retried as often as the budget allows, and then answered.
                    while (budget.trySpend()) retries++
                    budget.noteReplied()
                }
                budgets.forEach { budget -> while (budget.trySpend()) retries++ }
                withClue("${requests.size} requests") {
                    retries shouldBeLessThanOrEqual (ALLOWED_RATIO * requests.size).toInt() + ALLOWED_SLACK
                }
            }
        }
    })
