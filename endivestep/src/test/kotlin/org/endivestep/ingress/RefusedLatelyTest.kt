package org.endivestep.ingress

import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.shouldBe
import org.endivestep.identity.Fingerprint

class RefusedLatelyTest :
    FunSpec({
        test("a request that comes back is known by its first arrival, for some seconds") {
            val refused = RefusedLately()
            val print = Fingerprint("a")
            refused.firstArrivalMs(print, 1_000) shouldBe null
            refused.refused(print, 1_000)
            refused.firstArrivalMs(print, 1_500) shouldBe 1_000
            refused.refused(print, 1_500)
            refused.firstArrivalMs(print, 2_000) shouldBe 1_000
            refused.firstArrivalMs(Fingerprint("b"), 2_000) shouldBe null
            refused.firstArrivalMs(print, 60_000) shouldBe null
        }
    })
