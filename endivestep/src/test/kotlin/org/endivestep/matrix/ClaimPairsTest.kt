package org.endivestep.matrix

import io.kotest.assertions.withClue
import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.ints.shouldBeLessThanOrEqual
import io.kotest.matchers.shouldBe

private val stepsAfterClaim = Step.entries.filter { it > Step.CLAIM_CREATE && it <= Step.CLAIM_COMPLETION }

private fun requests(step: Step): Map<Fault, Cell.Request> =
    matrix
        .getValue(step)
        .cells
        .mapNotNull { (fault, cell) -> (cell as? Cell.Request)?.let { fault to it } }
        .toMap()

/** Pairs of faults whose outcome does not follow the rule of [expectedOutcome]. */
private val outcomeExceptions: Map<Pair<Fault, Cell.Request>, CallerOutcome> =
    // The claim of the order that was sent earlier can be read, so the late write of another claim is harmless.
    mapOf((Fault.STORE_SLOW to requests(Step.CLAIM_COMPLETION).getValue(Fault.DUPLICATE)) to CallerOutcome.ANSWERED)

/**
 * Outcome that the caller of an order sees when the fault [first] occurs at the claim and the fault of [afterwards] at a later step.
 *
 * The first fault that ends the request decides. A drain at the claim removes the second worker, so a request that only
 * this worker could answer is not run.
 */
private fun expectedOutcome(first: Fault, atClaim: Cell.Request, afterwards: Cell.Request): CallerOutcome {
    outcomeExceptions[first to afterwards]?.let { return it }
    val claimOutcome = atClaim.orderOutcomes.single()
    if (claimOutcome != CallerOutcome.ANSWERED) return claimOutcome
    return if (first == Fault.DRAIN && needsSecondWorker(afterwards)) CallerOutcome.NOT_RUN else afterwards.orderOutcomes.single()
}

private fun needsSecondWorker(cell: Cell.Request): Boolean =
    FaultMatrixFixture().use { fixture ->
        cell.inject(fixture)
        fixture.order() == CallerOutcome.ANSWERED && fixture.near.runs.get() == 0
    }

private fun checkPair(atClaim: Cell.Request, afterwards: Cell.Request, outcome: CallerOutcome) =
    FaultMatrixFixture().use { fixture ->
        afterwards.inject(fixture)
        atClaim.inject(fixture)
        fixture.order() shouldBe outcome
        if (outcome == CallerOutcome.NOT_RUN) fixture.runs shouldBe 0
        fixture.applyPendingWrites()
        fixture.endStoreFaults()
        repeat(2) { daemon ->
            val resendOutcome = fixture.order(through = daemon)
            fixture.applyPendingWrites()
            withClue("resend through ingress $daemon") {
                fixture.runs shouldBeLessThanOrEqual 1
                if (resendOutcome == CallerOutcome.NOT_RUN) fixture.runs shouldBe 0
                if (resendOutcome == CallerOutcome.ANSWERED) fixture.runs shouldBe 1
            }
        }
    }

/** Without [Fault.DUPLICATE]: a resend at the claim meets the fault of the later step, so it is not a fault of the claim alone. */
private val claimFaults = requests(Step.CLAIM_CREATE) - Fault.DUPLICATE

class ClaimPairsTest :
    FunSpec({
        stepsAfterClaim.forEach { step ->
            test("every fault at the claim followed by every fault at step $step") {
                for ((first, atClaim) in claimFaults) {
                    for ((second, afterwards) in requests(step)) {
                        withClue("$first at the claim, then $second") {
                            checkPair(atClaim, afterwards, expectedOutcome(first, atClaim, afterwards))
                        }
                    }
                }
            }
        }
    })
