package org.endivestep.egress

import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.ints.shouldBeLessThanOrEqual
import io.kotest.matchers.shouldBe
import org.endivestep.identity.AttemptId

class AttemptRegistryTest :
    FunSpec({
        test("attempts are kept for a bounded time, however long the longest request timeout is") {
            var nowMs = 0L
            val registry = AttemptRegistry({ 600_000L }) { nowMs }
            repeat(120_000) { number ->
                nowMs = number.toLong()
                registry.start(AttemptId("attempt-$number"))
            }
            registry.size shouldBeLessThanOrEqual AttemptRegistry.STARTED_RETENTION_MS.toInt() + 1
        }

        test("a fence for an attempt that is too old never reports that the attempt did not start") {
            var nowMs = 0L
            val registry = AttemptRegistry({ 600_000L }) { nowMs }
            registry.start(AttemptId("old"))
            nowMs = AttemptRegistry.STARTED_RETENTION_MS + 1
            registry.start(AttemptId("new"))
            registry.fence(AttemptId("old"), ageMs = nowMs) shouldBe FenceResult.MAY_HAVE_STARTED
            registry.fence(AttemptId("new"), ageMs = 0) shouldBe FenceResult.MAY_HAVE_STARTED
            registry.fence(AttemptId("unseen"), ageMs = 0) shouldBe FenceResult.NEVER_STARTED
            registry.start(AttemptId("unseen")) shouldBe false
        }
    })
