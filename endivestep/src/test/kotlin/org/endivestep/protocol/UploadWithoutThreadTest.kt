package org.endivestep.protocol

import io.kotest.assertions.nondeterministic.eventually
import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.shouldBe
import org.endivestep.egress.WorkerCall
import org.endivestep.egress.WorkerResult
import org.endivestep.exchange.RequestBody
import org.endivestep.fakes.EgressFixture
import org.endivestep.fakes.WireFixture
import org.endivestep.fakes.answering
import org.endivestep.fakes.sampleAttempt
import org.endivestep.outcome.AttemptResult
import java.io.IOException
import java.util.concurrent.RejectedExecutionException
import kotlin.time.Duration.Companion.seconds

private const val BODY_BYTES = 100_000

/** A worker that reads the whole body and answers with its length. */
private val reading: WorkerCall = { local, request ->
    try {
        val body = (request.body as RequestBody.Streamed).open().readAllBytes()
        answering("${body.size}".toByteArray())(local, request)
    } catch (e: IOException) {
        WorkerResult.Failed(e.toString(), timedOut = false)
    }
}

class UploadWithoutThreadTest :
    FunSpec({
        // Guards against a caller's connection that is closed without an answer, and a worker's slot held, when no thread can send a body.
        // And against one that is broken off although its worker has begun to take it (issue 57).
        test("an upload for whose body no other thread is free is sent whole by the thread of the request") {
            WireFixture(EgressFixture(worker = reading)).use { wire ->
                val client = ExchangeClient(wire.channels, { throw RejectedExecutionException("no thread is free") })
                val body = RequestBody.Streamed(ByteArray(BODY_BYTES).inputStream(), BODY_BYTES.toLong())
                val result = client.attempt(wire.peer, sampleAttempt(body = body, remainingMs = 20_000))
                (result as? AttemptResult.Answered)?.body?.use { it.readAllBytes().decodeToString() } shouldBe "$BODY_BYTES"
                eventually(5.seconds) { wire.fixture.admission.load.inFlight shouldBe 0 }
            }
        }
    })
