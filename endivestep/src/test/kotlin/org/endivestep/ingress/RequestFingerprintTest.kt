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
import org.endivestep.identity.Fingerprint
import org.endivestep.identity.KindName
import org.endivestep.identity.ServiceName
import org.endivestep.metrics.OutcomeCounters
import org.endivestep.outcome.AttemptResult
import org.endivestep.outcome.HeaderField
import org.endivestep.outcome.NotRunReason
import java.util.SplittableRandom

private data class Sent(
    val caller: String = "voorraad",
    val host: String = "a.example",
    val method: String = "GET",
    val path: String = "/x/1",
    val body: String = "",
    val service: String = "bestel",
    val id: String = "r1",
)

private fun rule(sent: Sent) =
    RouteRule(
        name = KindName("read"),
        host = sent.host,
        pathPrefix = "/x/",
        destinations = listOf(WeightedDestination(ServiceName(sent.service), 1)),
        semantics = RequestSemantics.Idempotent,
        objectiveMs = 500,
        timeoutMs = 1_000,
        maxAttempts = 2,
        priority = 0,
    )

private fun fingerprintOf(sent: Sent): Fingerprint {
    var fingerprint: Fingerprint? = null
    val ingress =
        RoutedIngress(
            callerService = ServiceName(sent.caller),
            headers = MessageHeaders("Id", "Deadline", "Caller", "Expect", "Retry-After"),
            document = { sampleDocument().copy(routes = RouteTable(listOf(rule(sent)))) },
            weights = WeightedChoice(SplittableRandom(1)),
            dispatch = { call, _ ->
                fingerprint = call.fingerprint
                AttemptResult.NotRun(NotRunReason.OVERLOADED)
            },
            retryDelay = { _, _, _ -> 0 },
            counters = OutcomeCounters(SimpleMeterRegistry()),
            configurationVersion = { 1 },
        )
    val headers = listOf(HeaderField("Host", sent.host), HeaderField("Id", sent.id), HeaderField("Deadline", "1000"))
    ingress.answer(CallerRequest(sent.method, sent.path, headers, RequestBody.Inline(sent.body.toByteArray()), monotonicMs()))
    return checkNotNull(fingerprint)
}

class RequestFingerprintTest :
    FunSpec({
        // Guards against an answer to one caller's request being taken for an answer to another caller's, which crashes its workers.
        test("requests that a worker can tell apart have different fingerprints, those with the same content the same signature") {
            class Case(val name: String, val other: Sent, val same: Boolean, val sameSignature: Boolean)
            listOf(
                Case("sent again", Sent(id = "r2"), same = true, sameSignature = true),
                Case("another caller", Sent(caller = "verhuur"), same = false, sameSignature = true),
                Case("another host", Sent(host = "b.example"), same = false, sameSignature = true),
                Case("another service", Sent(service = "voorraad"), same = false, sameSignature = true),
                Case("another path", Sent(path = "/x/2"), same = false, sameSignature = false),
                Case("another query", Sent(path = "/x/1?n=1"), same = false, sameSignature = false),
                Case("another method", Sent(method = "POST"), same = false, sameSignature = false),
                Case("another body", Sent(body = "b"), same = false, sameSignature = false),
            ).forEach { case ->
                val first = fingerprintOf(Sent())
                val second = fingerprintOf(case.other)
                withClue(case.name) {
                    (first == second) shouldBe case.same
                    (first.signature == second.signature) shouldBe case.sameSignature
                }
            }
        }
    })
