package org.endivestep.ingress

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

class StreamedBodyResendTest :
    FunSpec({
        // Guards against an upload that is run by a second worker without the beginning that went to the first one.
        test("a body that another attempt has begun to read is never sent again") {
            val failures =
                listOf(
                    AttemptResult.NotRun(NotRunReason.WORKER_UNREACHABLE),
                    AttemptResult.NotRun(NotRunReason.DAEMON_UNREACHABLE),
                    AttemptResult.NotRun(NotRunReason.FENCED),
                    AttemptResult.NotRun(NotRunReason.LEAVING),
                    AttemptResult.NotRun(NotRunReason.OVERLOADED),
                    AttemptResult.NotRun(NotRunReason.WORKER_SHED),
                    AttemptResult.Unknown(UnknownReason.CONNECTION_LOST),
                )
            for (failure in failures) {
                for (use in BodyUse.entries) {
                    for (streamed in listOf(true, false)) {
                        for (idempotent in listOf(true, false)) {
                            val received = mutableListOf<String>()
                            var attempts = 0
                            val dispatcher =
                                Dispatcher({ routesOf(WORKERS) }, LoadView(::monotonicMs), roundRobin(), RerouteSettings(3, 60)) { _, request ->
                                    if (++attempts == 1) {
                                        request.use(use)
                                        failure
                                    } else {
                                        received += request.receive()
                                        AttemptResult.Answered(AnswerHead(200, emptyList()), ByteArray(0).inputStream(), null)
                                    }
                                }
                            val body = if (streamed) RequestBody.Streamed(whole.inputStream(), -1) else RequestBody.Inline(whole)
                            dispatcher.dispatch(call(body, idempotent), AttemptId("first"))
                            withClue("$failure, $use, streamed $streamed, idempotent $idempotent") {
                                if (streamed && use != BodyUse.NOTHING) attempts shouldBe 1
                                received.all { it == whole.decodeToString() } shouldBe true
                            }
                        }
                    }
                }
            }
        }
    })
