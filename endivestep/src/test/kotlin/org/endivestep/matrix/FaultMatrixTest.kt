package org.endivestep.matrix

import io.kotest.assertions.withClue
import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.collections.shouldBeIn
import io.kotest.matchers.ints.shouldBeLessThanOrEqual
import io.kotest.matchers.shouldBe

internal val matrix: Map<Step, StepCells> =
    mapOf(
        Step.CALLER_TO_INGRESS to callerToIngress,
        Step.CLAIM_CREATE to claimCreate,
        Step.INGRESS_TO_EGRESS to ingressToEgress,
        Step.EGRESS_ADMISSION to egressAdmission,
        Step.EGRESS_TO_WORKER to egressToWorker,
        Step.WORKER_RUNS to workerRuns,
        Step.ANSWER_FIRST_BYTE to answerFirstByte,
        Step.ANSWER_MIDDLE to answerMiddle,
        Step.ANSWER_END to answerEnd,
        Step.CLAIM_COMPLETION to claimCompletion,
        Step.CONFIGURATION_WRITE to configurationWrite,
        Step.CONFIGURATION_RELAY to configurationRelay,
        Step.GOSSIP to gossipStep,
    )

private fun checkOrder(cell: Cell.Request) =
    FaultMatrixFixture().use { fixture ->
        cell.inject(fixture)
        val outcome = fixture.order()
        outcome shouldBeIn cell.orderOutcomes
        if (outcome == CallerOutcome.NOT_RUN) fixture.runs shouldBe 0
        fixture.runs shouldBeLessThanOrEqual 1
        fixture.applyPendingWrites()
        // After the fault has ended, the caller resends the order through another daemon.
        fixture.body = { "one board".byteInputStream() }
        fixture.endStoreFaults()
        val resendOutcome = fixture.order(through = 1)
        fixture.applyPendingWrites()
        fixture.runs shouldBeLessThanOrEqual 1
        if (resendOutcome == CallerOutcome.NOT_RUN) fixture.runs shouldBe 0
    }

private fun checkRead(cell: Cell.Request) =
    FaultMatrixFixture().use { fixture ->
        cell.inject(fixture)
        val before = fixture.runs
        val outcome = fixture.read()
        outcome shouldBeIn cell.readOutcomes
        if (outcome == CallerOutcome.NOT_RUN) fixture.runs shouldBe before
    }

class FaultMatrixTest :
    FunSpec({
        test("the matrix has a cell for every step and fault") {
            Step.entries.forEach { step ->
                withClue(step) { matrix.getValue(step).cells.keys shouldBe Fault.entries.toSet() }
            }
        }

        matrix.forEach { (step, cells) ->
            test("every fault at step $step") {
                cells.cells.forEach { (fault, cell) ->
                    withClue("$fault at $step") {
                        when (cell) {
                            is Cell.Request -> {
                                checkOrder(cell)
                                checkRead(cell)
                            }
                            is Cell.Check -> cell.check()
                            is Cell.NotApplicable -> cell.reason.isNotBlank() shouldBe true
                        }
                    }
                }
            }
        }
    })
