package org.endivestep.exchange

import io.kotest.assertions.withClue
import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.shouldBe

private const val OLD_MS = CallerLease.DURATION_MS

class CallerLeaseTest :
    FunSpec({
        // Guards against a request that is sent because its caller was there long ago (issue 54).
        test("an old lease is renewed only by an answer to a question") {
            class Case(val name: String, val ageMs: Long, val answers: Boolean, val asks: Boolean, val isRenewed: Boolean)
            listOf(
                Case("a new lease", ageMs = 0, answers = false, asks = false, isRenewed = true),
                Case("an old lease whose caller waits", OLD_MS, answers = true, asks = true, isRenewed = true),
                Case("an expired lease whose caller waits", 10 * OLD_MS, answers = true, asks = true, isRenewed = true),
                Case("an old lease whose caller has left", OLD_MS, answers = false, asks = true, isRenewed = false),
                Case("a request of which nothing is known", monotonicMs(), answers = false, asks = true, isRenewed = false),
            ).forEach { case ->
                var questions = 0
                val lease =
                    CallerLease(monotonicMs() - case.ageMs) { onPresent ->
                        questions++
                        if (case.answers) onPresent()
                    }
                withClue(case.name) {
                    lease.renewIfOld() shouldBe case.isRenewed
                    (questions > 0) shouldBe case.asks
                    lease.isValid(monotonicMs()) shouldBe case.isRenewed
                }
            }
        }

        test("a lease is valid for its duration from when its caller was known to wait") {
            val lease = CallerLease(10_000) { }
            lease.isValid(10_000 + CallerLease.DURATION_MS) shouldBe true
            lease.isValid(10_001 + CallerLease.DURATION_MS) shouldBe false
            CallerLease.unlimited().isValid(Long.MAX_VALUE / 2) shouldBe true
        }
    })
