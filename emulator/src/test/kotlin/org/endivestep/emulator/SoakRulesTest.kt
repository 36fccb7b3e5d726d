package org.endivestep.emulator

import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.shouldBe
import java.util.concurrent.TimeUnit

private val node = PlatformNode("stock-a", "a", "stock")
private val noBody = AnswerContent.digest(ByteArray(0))

/** Something that callers and workers saw, and the rule that it breaks, or null if it breaks none. */
private class Case(
    val description: String,
    val rule: String?,
    val path: String,
    val ending: Ending,
    val runsBy: List<String>,
    val method: String = "GET",
    val stops: Boolean = false,
)

private fun answered(status: Int, body: ByteArray = AnswerContent.of("id"), signature: String? = AnswerContent.signature("id")) =
    Ending.Answered(RawHttpMessage("HTTP/1.1 $status", listOfNotNull(signature?.let { "x-server-stamp" to it }).toMap(), body))

private fun refusal(status: Int) = answered(status, ByteArray(0), signature = null)

// Two configurations are in force for long: the second one sends reads to another service and has the routes /added-0/ and /added-1/.
private val cases =
    listOf(
        Case("a whole answer", null, "/reads/id", answered(200), listOf("orders")),
        Case("half of the body", "MIXED", "/reads/id", answered(200, AnswerContent.of("id").copyOf(40)), listOf("orders")),
        Case("a success without a signature", "MIXED", "/reads/id", answered(200, signature = null), listOf("orders")),
        Case(
            "the answer to another request",
            "MIXED",
            "/reads/id",
            answered(200, signature = AnswerContent.signature("x")),
            listOf("orders"),
        ),
        Case("a success that no worker ran", "MIXED", "/reads/id", answered(200), emptyList()),
        Case("a failure with a worker's signature", "MIXED", "/reads/id", answered(502), listOf("orders")),
        Case("a read that ran twice", null, "/reads/id", answered(200), listOf("orders", "orders")),
        Case("an order that ran twice", "TWICE", "/orders/id", answered(200), listOf("orders", "orders"), method = "POST"),
        Case("a refusal", null, "/orders/id", refusal(503), emptyList(), method = "POST"),
        Case("a refused order that ran", "REFUSED", "/orders/id", refusal(503), listOf("orders"), method = "POST"),
        Case("a run by the service of the older configuration", "CONFIG", "/reads/id", answered(200), listOf("stock")),
        Case("404 for a route of both configurations", "CONFIG", "/added-0/id", refusal(404), emptyList()),
        Case("404 for a route that was added long ago", "CONFIG", "/added-1/id", refusal(404), emptyList()),
        Case("404 for a route that never existed", null, "/added-7/id", refusal(404), emptyList()),
        Case("a cut request that ran", null, "/reads/id", Ending.Cut("reset"), listOf("orders")),
        Case("a cut request that ran during a stop", "LOST", "/reads/id", Ending.Cut("reset"), listOf("orders"), stops = true),
        Case("a 502 for a request that ran during a stop", "LOST", "/reads/id", refusal(502), listOf("orders"), stops = true),
        Case("another method than was sent", "UNASKED", "/orders/id", answered(200), listOf("orders"), method = "PUT"),
    )

class SoakRulesTest :
    FunSpec({
        for (case in cases) {
            test("${case.description} breaks ${case.rule?.let { "the rule $it" } ?: "no rule"}") {
                val history = SoakHistory()
                repeat(2) { history.configure { } }
                history.recordStart(node)
                if (case.stops) history.recordStop()
                val startNanos = System.nanoTime() + TimeUnit.SECONDS.toNanos(4)
                val endNanos = startNanos + TimeUnit.SECONDS.toNanos(1)
                history.record(SoakRequest("id", node, case.method, case.path, noBody, startNanos, startNanos, endNanos, case.ending))
                val sentMethod = if (case.method == "PUT") "POST" else case.method
                val runs =
                    case.runsBy.map {
                        WorkerRun("id", "$sentMethod ${case.path}", node.service, noBody, it, startNanos, fault = null, followsCopy = false)
                    }
                val findings = SoakRules(history, mapOf(node to runs)).findings()
                findings.map { it.substringBefore(':') }.toSet() shouldBe setOfNotNull(case.rule)
            }
        }
    })
