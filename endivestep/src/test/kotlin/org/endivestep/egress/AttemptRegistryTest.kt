package org.endivestep.egress

import io.kotest.assertions.withClue
import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.ints.shouldBeLessThanOrEqual
import io.kotest.matchers.shouldBe
import org.endivestep.identity.AttemptId
import org.endivestep.protocol.MAX_ANSWER_MS

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

        // Guards against a request that is called not run although it runs, because the question about it was on its way for seconds.
        test("a start is remembered for as long as the answer to a question about it counts") {
            listOf(1_000L, 9_000L, 10_000L, 10_001L, 14_000L).forEach { ageMs ->
                var nowMs = 0L
                val registry = AttemptRegistry({ 600_000L }) { nowMs }
                registry.start(AttemptId("started"))
                nowMs = ageMs + MAX_ANSWER_MS
                withClue("asked $ageMs ms after the start") {
                    registry.fence(AttemptId("started"), ageMs) shouldBe FenceResult.MAY_HAVE_STARTED
                }
            }
        }
    })
