package org.endivestep.ingress

import io.kotest.assertions.throwables.shouldThrow
import io.kotest.assertions.withClue
import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.shouldBe
import org.endivestep.choice.LoadView
import org.endivestep.document.Kind
import org.endivestep.exchange.AttemptRequest
import org.endivestep.exchange.Deadline
import org.endivestep.exchange.RequestBody
import org.endivestep.exchange.monotonicMs
import org.endivestep.fakes.roundRobin
import org.endivestep.fakes.sampleAttempt
import org.endivestep.fakes.sampleDocument
import org.endivestep.identity.AttemptId
import org.endivestep.identity.Fingerprint
import org.endivestep.identity.RequestId
import org.endivestep.identity.ServiceName
import org.endivestep.outcome.AnswerHead
import org.endivestep.outcome.AttemptResult
import org.endivestep.outcome.NotRunReason
import org.endivestep.outcome.UnknownReason

private const val WORKERS = 4
private val whole = "the whole body".toByteArray()

private fun call(body: RequestBody, idempotent: Boolean): IncomingCall {
    val service = sampleDocument().services.getValue(ServiceName("bestel"))
    val kind: Kind = service.kinds.first { it.idempotent == idempotent }
    return IncomingCall(
        id = RequestId("request"),
        service = service,
        kind = kind,
        method = "POST",
        path = "/orders",
        headers = emptyList(),
        body = body,
        startMs = monotonicMs(),
        deadline = Deadline(monotonicMs() + 10_000),
        idempotencyKey = null,
        fingerprint = Fingerprint("print"),
    )
}

/** What an attempt does with a streamed body before it fails. */
private enum class BodyUse {
    NOTHING,

    /** It is handed to a thread that has not read anything yet. */
    OPENED,
    READ_PARTLY,
}

private fun AttemptRequest.use(how: BodyUse) {
    val streamed = body as? RequestBody.Streamed ?: return
    if (how == BodyUse.NOTHING) return
    val stream = streamed.open()
    if (how == BodyUse.READ_PARTLY) stream.read()
}

private fun AttemptRequest.receive(): String =
    when (val received = body) {
        is RequestBody.Inline -> received.bytes.decodeToString()
        is RequestBody.Streamed -> received.open().readBytes().decodeToString()
    }

private val failures =
    listOf(
        AttemptResult.NotRun(NotRunReason.WORKER_UNREACHABLE),
        AttemptResult.NotRun(NotRunReason.DAEMON_UNREACHABLE),
        AttemptResult.NotRun(NotRunReason.FENCED),
        AttemptResult.NotRun(NotRunReason.LEAVING),
        AttemptResult.NotRun(NotRunReason.OVERLOADED),
        AttemptResult.NotRun(NotRunReason.WORKER_SHED),
        AttemptResult.Unknown(UnknownReason.CONNECTION_LOST),
    )

private data class Case(val failure: AttemptResult, val use: BodyUse, val streamed: Boolean, val idempotent: Boolean)

private val cases: List<Case> =
    failures.flatMap { failure ->
        BodyUse.entries.flatMap { use ->
            listOf(true, false).flatMap { streamed -> listOf(true, false).map { Case(failure, use, streamed, it) } }
        }
    }

/** Dispatches a call whose first attempt uses the body and fails as [case] says; returns what each later attempt received. */
private fun receivedAgain(case: Case): List<String> {
    val received = mutableListOf<String>()
    var attempts = 0
    val attempt: AttemptCall = { _, request ->
        if (++attempts == 1) {
            request.use(case.use)
            case.failure
        } else {
            received += request.receive()
            AttemptResult.Answered(AnswerHead(200, emptyList()), ByteArray(0).inputStream(), null)
        }
    }
    val routes = routesOf(WORKERS)
    val dispatcher = Dispatcher({ routes }, LoadView(::monotonicMs), roundRobin(), RerouteSettings(3, 60), attempt = attempt)
    val body = if (case.streamed) RequestBody.Streamed(whole.inputStream(), -1) else RequestBody.Inline(whole)
    dispatcher.dispatch(call(body, case.idempotent), AttemptId("first"))
    return received
}

class StreamedBodyResendTest :
    FunSpec({
        // Guards against an upload that is run by a second worker without the beginning that went to the first one.
        test("a body that another attempt has begun to read is never sent again") {
            cases.forEach { case ->
                val received = receivedAgain(case)
                withClue(case) {
                    if (case.streamed && case.use != BodyUse.NOTHING) received shouldBe emptyList()
                    received.all { it == whole.decodeToString() } shouldBe true
                }
            }
        }

        // Guards against a second attempt that takes the rest of a body for the whole.
        test("no attempt can be made of a body that was begun") {
            val body = RequestBody.Streamed(whole.inputStream(), -1)
            body.open().read()
            shouldThrow<IllegalArgumentException> { sampleAttempt(body = body) }
            shouldThrow<IllegalStateException> { body.open() }
        }

        test("a body that nobody has read is sent to another worker") {
            val refused = AttemptResult.NotRun(NotRunReason.WORKER_UNREACHABLE)
            listOf(true, false).forEach { streamed ->
                receivedAgain(Case(refused, BodyUse.NOTHING, streamed, idempotent = false)) shouldBe listOf(whole.decodeToString())
            }
        }
    })
