package org.endivestep.exchange

import io.kotest.assertions.withClue
import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.shouldBe

class CancellationTest :
    FunSpec({
        test("the last listener is called once, when the request is cancelled") {
            class Case(val name: String, val expected: List<String>, val events: Cancellation.(listener: (String) -> () -> Unit) -> Unit)
            listOf(
                Case("not cancelled", emptyList()) { onCancel(it("first")) },
                Case("no listener", emptyList()) { cancel() },
                Case("cancelled after", listOf("first")) { listener ->
                    onCancel(listener("first"))
                    cancel()
                },
                Case("cancelled before", listOf("first")) { listener ->
                    cancel()
                    onCancel(listener("first"))
                },
                Case("cancelled twice", listOf("first")) { listener ->
                    onCancel(listener("first"))
                    cancel()
                    cancel()
                },
                Case("replaced", listOf("second")) { listener ->
                    onCancel(listener("first"))
                    onCancel(listener("second"))
                    cancel()
                },
            ).forEach { case ->
                val called = mutableListOf<String>()
                val cancellation = Cancellation()
                case.events(cancellation) { name -> { called += name } }
                withClue(case.name) { called shouldBe case.expected }
            }
        }
    })
