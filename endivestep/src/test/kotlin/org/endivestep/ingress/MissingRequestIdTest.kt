package org.endivestep.ingress

import io.kotest.assertions.withClue
import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.shouldBe
import io.micrometer.core.instrument.simple.SimpleMeterRegistry
import org.endivestep.document.RequestSemantics
import org.endivestep.document.RouteRule
import org.endivestep.document.RouteTable
import org.endivestep.document.WeightedDestination
import org.endivestep.exchange.MessageHeaders
import org.endivestep.exchange.RequestBody
import org.endivestep.exchange.monotonicMs
import org.endivestep.fakes.sampleDocument
import org.endivestep.identity.KindName
import org.endivestep.identity.ServiceName
import org.endivestep.metrics.OutcomeCounters
import org.endivestep.outcome.AttemptResult
import org.endivestep.outcome.HeaderField
import org.endivestep.outcome.NotRunReason
import java.util.SplittableRandom

private val read =
    RouteRule(
        name = KindName("read"),
        host = "a.example",
        pathPrefix = "/x/",
        destinations = listOf(WeightedDestination(ServiceName("bestel"), 1)),
        semantics = RequestSemantics.Idempotent,
        objectiveMs = 500,
        timeoutMs = 1_000,
        maxAttempts = 2,
        priority = 0,
    )

private fun request(path: String, vararg headers: HeaderField): CallerRequest {
    val fields = listOf(HeaderField("Host", "a.example"), HeaderField("Deadline", "1000")) + headers
    return CallerRequest("GET", path, fields, RequestBody.Inline(ByteArray(0)), monotonicMs())
}

class MissingRequestIdTest :
    FunSpec({
        // Guards against healthy workers that are taken for failing: no answer can be attributed to a request without an id.
        test("a request without an id is refused before it is sent to a worker") {
            class Case(val name: String, val request: CallerRequest, val status: Int, val dispatched: Int)
            listOf(
                Case("an id", request("/x/1", HeaderField("Id", "r1")), 503, dispatched = 1),
                Case("no id", request("/x/1"), 400, dispatched = 0),
                Case("an empty id", request("/x/1", HeaderField("Id", "")), 400, dispatched = 0),
                Case("a blank id", request("/x/1", HeaderField("Id", " ")), 400, dispatched = 0),
                Case("no id and no route", request("/y/1"), 404, dispatched = 0),
            ).forEach { case ->
                var dispatched = 0
                val ingress =
                    RoutedIngress(
                        callerService = ServiceName("voorraad"),
                        headers = MessageHeaders("Id", "Deadline", "Caller", "Expect", "Retry-After"),
                        document = { sampleDocument().copy(routes = RouteTable(listOf(read))) },
                        weights = WeightedChoice(SplittableRandom(1)),
                        dispatch = { _, _ ->
                            dispatched++
                            AttemptResult.NotRun(NotRunReason.OVERLOADED)
                        },
                        retryDelay = { _, _, _ -> 0 },
                        counters = OutcomeCounters(SimpleMeterRegistry()),
                        configurationVersion = { 1 },
                    )
                withClue(case.name) { (ingress.answer(case.request).status to dispatched) shouldBe (case.status to case.dispatched) }
            }
        }
    })
