package org.endivestep.ingress

import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.shouldBe
import org.endivestep.identity.Fingerprint

class RecentRefusalsTest :
    FunSpec({
        test("a repeated request keeps its first arrival time until the entry expires") {
            val refused = RecentRefusals()
            val print = Fingerprint("a")
            refused.firstArrivalMs(print, 1_000) shouldBe null
            refused.record(print, 1_000)
            refused.firstArrivalMs(print, 1_500) shouldBe 1_000
            refused.record(print, 1_500)
            refused.firstArrivalMs(print, 2_000) shouldBe 1_000
            refused.firstArrivalMs(Fingerprint("b"), 2_000) shouldBe null
            refused.firstArrivalMs(print, 60_000) shouldBe null
        }
    })
