package org.endivestep.ingress

import io.kotest.assertions.withClue
import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.shouldBe
import io.kotest.matchers.types.shouldBeInstanceOf
import org.endivestep.exchange.monotonicMs
import org.endivestep.fakes.sampleDocument
import org.endivestep.identity.Fingerprint
import org.endivestep.identity.RequestId
import org.endivestep.outcome.OutcomeHeaders
import org.http4k.core.Method
import org.http4k.core.Request

private fun order(host: String = "127.0.0.1:9001", key: String = "key", path: String = "/orders") =
    Request(Method.POST, path)
        .header("Host", host)
        .header(OutcomeHeaders.SERVICE, "bestel")
        .header(OutcomeHeaders.IDEMPOTENCY_KEY, key)
        .body("board")

private fun fingerprintOf(request: Request): Fingerprint =
    parseCall(sampleDocument(), request, RequestId("r"), monotonicMs()).shouldBeInstanceOf<ParseResult.Parsed>().call.fingerprint

class CallFingerprintTest :
    FunSpec({
        // Guards against a resend through another daemon being taken for another request with the same key.
        test("a request that is sent again has the same fingerprint, through whichever daemon it comes") {
            class Case(val name: String, val other: Request, val same: Boolean)
            listOf(
                Case("through the same daemon", order(), same = true),
                Case("through another daemon", order(host = "127.0.0.1:9002"), same = true),
                Case("with another key", order(key = "other"), same = false),
                Case("with another path", order(path = "/orders?n=2"), same = false),
                Case("with another body", order().body("boards"), same = false),
            ).forEach { case -> withClue(case.name) { (fingerprintOf(order()) == fingerprintOf(case.other)) shouldBe case.same } }
        }
    })
