package org.endivestep.egress

import io.kotest.assertions.withClue
import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.shouldBe
import org.endivestep.fakes.EgressFixture
import org.endivestep.fakes.answering
import org.endivestep.fakes.sampleAttempt
import java.io.IOException

class EgressLeakTest :
    FunSpec({
        test("a failure at any point of a request leaks no admission permit") {
            data class Case(val name: String, val worker: WorkerCall, val onAdmitted: () -> Unit)
            listOf(
                Case("the caller's daemon is unreachable", answering(), { throw IOException("gone") }),
                Case("the call was cancelled", answering(), { error("call already cancelled") }),
                Case("the thread was interrupted", answering(), { throw InterruptedException() }),
                Case("the worker's client fails", { _, _ -> throw IllegalArgumentException("bad header") }, { }),
            ).forEach { case ->
                val fixture = EgressFixture(worker = case.worker)
                repeat(5) { number ->
                    runCatching { fixture.egress.run(sampleAttempt("attempt-$number"), case.onAdmitted) }
                }
                withClue(case.name) {
                    fixture.admission.load.inFlight shouldBe 0
                    fixture.inFlight.count shouldBe 0
                }
            }
        }
    })
