package org.endivestep.egress

import io.kotest.assertions.withClue
import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.shouldBe
import io.netty.channel.nio.NioEventLoopGroup
import org.endivestep.exchange.AttemptRequest
import org.endivestep.exchange.MessageHeaders
import org.endivestep.fakes.EgressFixture
import org.endivestep.fakes.SCRIPTED_ID_HEADER
import org.endivestep.fakes.ScriptedWorker
import org.endivestep.fakes.sampleAttempt
import org.endivestep.http.HttpConnectionPool
import org.endivestep.identity.RequestId
import org.endivestep.outcome.AttemptResult
import org.endivestep.platform.platformAnswerInterpreter
import java.util.concurrent.TimeUnit

private val headers = MessageHeaders(SCRIPTED_ID_HEADER, "Deadline", "Caller", "Expect", "Retry-After", signature = "Stamp")

private fun refusal(status: String, id: String?, notRun: Boolean): String {
    val idLine = id?.let { "$SCRIPTED_ID_HEADER: $it\r\n" }.orEmpty()
    return "HTTP/1.1 $status\r\n$idLine${if (notRun) "X-Not-Run: 1\r\n" else ""}Content-Length: 0\r\n\r\n"
}

private fun answer(id: String) = "HTTP/1.1 200 OK\r\n$SCRIPTED_ID_HEADER: $id\r\nStamp: s\r\nContent-Length: 5\r\n\r\nwhole"

/** A worker that refuses the first request on its first connection with [refusal], and runs the second one after it has sent [copy]. */
private fun refusingWorker(refusal: String, copy: String, answersAfterCopy: Boolean) =
    ScriptedWorker {
        if (number == 1) {
            readRequest()
            send(refusal)
        }
        val id = readRequest()
        send(if (number == 1) copy else "")
        if (number > 1 || answersAfterCopy) send(answer(id.orEmpty()))
        awaitClose()
    }

private fun attempt(id: String): AttemptRequest {
    val sample = sampleAttempt("attempt-$id", remainingMs = 500)
    return AttemptRequest(
        RequestId(id), sample.attemptId, sample.service, sample.kind, sample.method, sample.path, sample.headers, sample.body,
        sample.deadline, sample.fingerprint,
    )
}

private fun describe(result: AttemptResult): String =
    when (result) {
        is AttemptResult.Answered -> result.body.use { "${result.head.status} ${it.readBytes().decodeToString()}" }
        is AttemptResult.NotRun -> "not run"
        is AttemptResult.Unknown -> "unknown"
    }

class RepeatedRefusalTest :
    FunSpec({
        // Guards against a request that a worker runs being called not run, because an earlier refusal is on its connection once more.
        test("a copy of an earlier refusal is not taken as the answer to the request that runs") {
            val loops = NioEventLoopGroup(1)
            val refusals = listOf("503 Service Unavailable" to true, "429 Too Many Requests" to true, "421 Misdirected Request" to false)
            for ((status, notRun) in refusals) {
                for (copyId in listOf("1", null)) {
                    for (answersAfterCopy in listOf(true, false)) {
                        val copy = refusal(status, copyId, notRun)
                        refusingWorker(refusal(status, "1", notRun), copy, answersAfterCopy).use { worker ->
                            val call = nettyWorkerCall(HttpConnectionPool(loops, connectTimeoutMs = 500), headers)
                            val fixture =
                                EgressFixture(address = worker.address, answerInterpreter = platformAnswerInterpreter, worker = call)
                            val results = listOf("1", "2").map { describe(fixture.egress.run(attempt(it)) { }) }
                            val second = if (copyId != null && answersAfterCopy) "200 whole" else "unknown"
                            withClue("$status, copy with id $copyId, answered after it $answersAfterCopy") {
                                results shouldBe listOf("not run", second)
                                worker.connections shouldBe 1
                            }
                        }
                    }
                }
            }
            loops.shutdownGracefully(0, 1, TimeUnit.SECONDS)
        }
    })
