package org.endivestep.matrix

import org.endivestep.admission.AdmissionRequest
import org.endivestep.egress.WorkerResult
import org.endivestep.fakes.StoreFault
import org.endivestep.fakes.answering
import org.endivestep.fakes.sampleDocument
import org.endivestep.outcome.AnswerHead
import org.endivestep.outcome.AttemptResult
import org.endivestep.outcome.HeaderField
import org.endivestep.outcome.NotRunReason
import org.endivestep.outcome.UnknownReason
import java.io.IOException
import java.io.InputStream

private const val RECORDING_MS = 50L
private const val LOCAL_STEP = "no operator, store or other daemon takes part in this step"
private const val NO_STORE = "the store is not called at this step"
private const val NO_WORKER_YET = "no worker has been reached yet"
private const val OTHER_DAEMON_ALIKE = "for the other side this is the same as a cut connection, see CUT"
private const val SAME_AS_SILENT = "a frozen or delayed peer gives no answer in time, see SILENT_CONNECTION"

private fun cutAfter(bytes: Int): InputStream =
    object : InputStream() {
        private var sent = 0

        override fun read(): Int = if (sent++ < bytes) 'x'.code else throw IOException("cut by the test")
    }

private fun headOf(length: Int) = AnswerHead(200, listOf(HeaderField("Content-Length", "$length")))

// The worker got the request, and nothing is known of what came of it.
private val lost = WorkerResult.Failed("connection lost", timedOut = false)
private val timedOut = WorkerResult.Failed("no answer", timedOut = true)
private val unknownOnWire = AttemptResult.Unknown(UnknownReason.CONNECTION_LOST)
private val fenced = AttemptResult.NotRun(NotRunReason.FENCED)

internal val callerToIngress =
    StepCells().apply {
        request(Fault.CUT, Told.NOTHING) { body = { cutAfter(3) } }
        request(Fault.DUPLICATE, Told.ANSWERED) { order(through = 1) }
        request(Fault.DRAIN, Told.ANSWERED) { near.document = sampleDocument().outOf("haarlem") }
        request(Fault.WORKER_COLD, Told.ANSWERED) { near.admission.makeCold() }
        never("the caller sees its connection end and is told nothing", Fault.KILL)
        never("time begins when the request has arrived", Fault.FREEZE_AND_WAKE, Fault.DELAY)
        never("the server's idle timeout ends the connection; nothing was dispatched", Fault.SILENT_CONNECTION)
        never("no answer exists yet", Fault.LOST_ANSWER, Fault.CROSSED_ANSWER)
        never(NO_STORE, Fault.STORE_OUT, Fault.STORE_SLOW, Fault.STORE_ANSWER_LOST)
        never(NO_WORKER_YET, Fault.WORKER_SLOW, Fault.WORKER_CRASH)
        never("a request uses the configuration in force when it arrives", Fault.RACING_OPERATORS)
    }

internal val claimCreate =
    StepCells().apply {
        request(Fault.STORE_OUT, Told.UNKNOWN) { claimFaults += List(2) { StoreFault.OUT } }
        request(Fault.STORE_ANSWER_LOST, Told.ANSWERED) { claimFaults += StoreFault.LOST_ANSWER }
        request(Fault.LOST_ANSWER, Told.UNKNOWN) { claimFaults += listOf(StoreFault.LOST_ANSWER, StoreFault.OUT) }
        request(Fault.STORE_SLOW, Told.UNKNOWN) { claimFaults += StoreFault.LATE_WRITE }
        request(Fault.DELAY, Told.UNKNOWN) { claimFaults += listOf(StoreFault.LATE_WRITE, StoreFault.OUT) }
        request(Fault.DUPLICATE, Told.ANSWERED) { sendWhileRecorded() }
        request(Fault.DRAIN, Told.ANSWERED) { far.document = sampleDocument().outOf("katwijk") }
        never("the claim stays and a resend is told that its outcome is unknown, see ClaimsModelTest", Fault.KILL, Fault.FREEZE_AND_WAKE)
        never("the store's client meets it as an answer that is lost", Fault.CUT, Fault.SILENT_CONNECTION)
        never("answers of the store carry no other request's data: one connection, one exchange", Fault.CROSSED_ANSWER)
        never(NO_WORKER_YET, Fault.WORKER_COLD, Fault.WORKER_SLOW, Fault.WORKER_CRASH)
        never("claims do not depend on the configuration's version", Fault.RACING_OPERATORS)
    }

internal val ingressToEgress =
    StepCells().apply {
        request(Fault.CUT, Told.UNKNOWN) { wire = { _, _ -> unknownOnWire } }
        request(Fault.SILENT_CONNECTION, Told.ANSWERED) { wire = { _, _ -> fenced } }
        request(Fault.KILL, Told.ANSWERED) { wire = { _, _ -> AttemptResult.NotRun(NotRunReason.DAEMON_UNREACHABLE) } }
        request(Fault.LOST_ANSWER, Told.UNKNOWN) {
            wire = { route, request ->
                run(route, request).closeBody()
                unknownOnWire
            }
        }
        request(Fault.DUPLICATE, Told.ANSWERED) {
            wire = { route, request -> run(route, request).also { run(route, request).closeBody() } }
        }
        request(Fault.FREEZE_AND_WAKE, Told.ANSWERED) {
            wire = { route, request ->
                near.egress.fence(request.attemptId, ageMs = 0)
                run(route, request)
            }
        }
        request(Fault.DRAIN, Told.ANSWERED) { near.document = sampleDocument().outOf("haarlem") }
        request(Fault.CROSSED_ANSWER, Told.UNKNOWN) { wire = { _, _ -> AttemptResult.Unknown(UnknownReason.MISMATCHED_ANSWER) } }
        never(SAME_AS_SILENT, Fault.DELAY)
        never(NO_STORE, Fault.STORE_OUT, Fault.STORE_SLOW, Fault.STORE_ANSWER_LOST)
        never(NO_WORKER_YET, Fault.WORKER_COLD, Fault.WORKER_SLOW, Fault.WORKER_CRASH)
        never(LOCAL_STEP, Fault.RACING_OPERATORS)
    }

internal val egressAdmission =
    StepCells().apply {
        request(Fault.WORKER_COLD, Told.ANSWERED) { repeat(2) { near.admission.admit(AdmissionRequest(0)) } }
        request(Fault.WORKER_CRASH, Told.ANSWERED) { near.workers.died(checkNotNull(near.workers.worker).announcement.incarnation) }
        request(Fault.DRAIN, Told.ANSWERED) { near.document = sampleDocument().outOf("haarlem") }
        request(Fault.KILL, Told.ANSWERED) { near.egress.stop() }
        request(Fault.FREEZE_AND_WAKE, Told.ANSWERED) { near.announce("bestel", "run-1", leaving = true) }
        request(Fault.WORKER_SLOW, Told.NOT_RUN, Told.NOT_RUN) {
            repeat(2) { near.admission.admit(AdmissionRequest(0)) }
            repeat(2) { far.admission.admit(AdmissionRequest(0)) }
        }
        request(Fault.RACING_OPERATORS, Told.ANSWERED) { near.document = null }
        never("admission is a call within the daemon", Fault.CUT, Fault.SILENT_CONNECTION, Fault.DELAY, Fault.LOST_ANSWER)
        never("an attempt that arrives twice is met at INGRESS_TO_EGRESS", Fault.DUPLICATE)
        never("no answer exists yet", Fault.CROSSED_ANSWER)
        never(NO_STORE, Fault.STORE_OUT, Fault.STORE_SLOW, Fault.STORE_ANSWER_LOST)
    }

internal val egressToWorker =
    StepCells().apply {
        request(Fault.CUT, Told.UNKNOWN) { first = { _, _ -> lost } }
        request(Fault.KILL, Told.ANSWERED) { first = { _, _ -> WorkerResult.NotSent("refused") } }
        request(Fault.WORKER_CRASH, Told.UNKNOWN) {
            first = { _, _ ->
                near.listens = false
                lost
            }
        }
        request(Fault.SILENT_CONNECTION, Told.UNKNOWN) { first = { _, _ -> timedOut } }
        request(Fault.DRAIN, Told.ANSWERED) {
            first = { address, request ->
                near.document = sampleDocument().outOf("haarlem")
                answering(WHOLE.toByteArray())(address, request)
            }
        }
        request(Fault.FREEZE_AND_WAKE, Told.UNKNOWN) { first = { _, _ -> WorkerResult.Cancelled } }
        never(SAME_AS_SILENT, Fault.DELAY, Fault.WORKER_SLOW)
        never("see ANSWER_FIRST_BYTE", Fault.LOST_ANSWER, Fault.CROSSED_ANSWER)
        never("the worker's client sends a request once", Fault.DUPLICATE)
        never(NO_STORE, Fault.STORE_OUT, Fault.STORE_SLOW, Fault.STORE_ANSWER_LOST)
        never("the limit was applied at admission", Fault.WORKER_COLD)
        never(LOCAL_STEP, Fault.RACING_OPERATORS)
    }

internal val workerRuns =
    StepCells().apply {
        request(Fault.WORKER_COLD, Told.ANSWERED) {
            first =
                { _, _ -> WorkerResult.Answered(AnswerHead(503, headOf(0).headers), cutAfter(0)) { } }
        }
        request(Fault.WORKER_SLOW, Told.UNKNOWN) { first = { _, _ -> timedOut } }
        request(Fault.WORKER_CRASH, Told.UNKNOWN) {
            first = { _, _ ->
                near.listens = false
                lost
            }
        }
        request(Fault.DRAIN, Told.ANSWERED) {
            first = { address, request ->
                near.egress.stop()
                answering(WHOLE.toByteArray())(address, request)
            }
        }
        request(Fault.DUPLICATE, Told.ANSWERED) {
            first = { address, request ->
                order(through = 1)
                answering(WHOLE.toByteArray())(address, request)
            }
        }
        request(Fault.STORE_OUT, Told.ANSWERED) {
            first = { address, request ->
                recordFaults += List(3) { StoreFault.OUT }
                answering(WHOLE.toByteArray())(address, request)
            }
        }
        never(OTHER_DAEMON_ALIKE, Fault.KILL)
        never(SAME_AS_SILENT, Fault.FREEZE_AND_WAKE, Fault.DELAY)
        never("connections are met at EGRESS_TO_WORKER and at the answer", Fault.CUT, Fault.SILENT_CONNECTION)
        never("see ANSWER_FIRST_BYTE", Fault.LOST_ANSWER, Fault.CROSSED_ANSWER)
        never(NO_STORE, Fault.STORE_SLOW, Fault.STORE_ANSWER_LOST)
        never(LOCAL_STEP, Fault.RACING_OPERATORS)
    }

internal val answerFirstByte =
    StepCells().apply {
        request(Fault.CUT, Told.UNKNOWN) { first = { _, _ -> lost } }
        request(Fault.LOST_ANSWER, Told.UNKNOWN) { first = { _, _ -> timedOut } }
        request(Fault.CROSSED_ANSWER, Told.UNKNOWN) {
            wire = { route, request ->
                run(route, request).closeBody()
                AttemptResult.Unknown(UnknownReason.MISMATCHED_ANSWER)
            }
        }
        request(Fault.DELAY, Told.UNKNOWN) {
            wire = { route, request ->
                run(route, request).closeBody()
                AttemptResult.Unknown(UnknownReason.TIMEOUT)
            }
        }
        request(Fault.DRAIN, Told.ANSWERED) { wire = { route, request -> run(route, request).also { near.egress.stop() } } }
        never(OTHER_DAEMON_ALIKE, Fault.KILL, Fault.WORKER_CRASH)
        never(SAME_AS_SILENT, Fault.FREEZE_AND_WAKE, Fault.SILENT_CONNECTION, Fault.WORKER_SLOW)
        never("frames are counted, see BodyFramesTest", Fault.DUPLICATE)
        never(NO_STORE, Fault.STORE_OUT, Fault.STORE_SLOW, Fault.STORE_ANSWER_LOST)
        never("the limit was applied at admission", Fault.WORKER_COLD)
        never(LOCAL_STEP, Fault.RACING_OPERATORS)
    }

private fun cutAnswer(after: Int): MatrixBench.() -> Unit = { first = { _, _ -> WorkerResult.Answered(headOf(100), cutAfter(after)) { } } }

internal val answerMiddle =
    StepCells().apply {
        request(Fault.CUT, Told.CUT, Told.CUT, cutAnswer(after = 50))
        request(Fault.WORKER_CRASH, Told.CUT, Told.CUT) {
            cutAnswer(after = 50)()
            near.listens = false
        }
        request(Fault.DRAIN, Told.ANSWERED) { wire = { route, request -> run(route, request).also { near.egress.stop() } } }
        request(Fault.STORE_OUT, Told.ANSWERED) {
            wire = { route, request -> run(route, request).also { recordFaults += List(3) { StoreFault.OUT } } }
        }
        never(OTHER_DAEMON_ALIKE, Fault.KILL)
        never(
            "no frame in time cuts the answer, as CUT does",
            Fault.FREEZE_AND_WAKE,
            Fault.SILENT_CONNECTION,
            Fault.DELAY,
            Fault.LOST_ANSWER,
        )
        never("frames are counted and summed, see BodyFramesTest", Fault.DUPLICATE, Fault.CROSSED_ANSWER)
        never("an answer that began streams at the worker's pace", Fault.WORKER_SLOW, Fault.WORKER_COLD)
        never(NO_STORE, Fault.STORE_SLOW, Fault.STORE_ANSWER_LOST)
        never(LOCAL_STEP, Fault.RACING_OPERATORS)
    }

internal val answerEnd =
    StepCells().apply {
        request(Fault.CUT, Told.CUT, Told.CUT, cutAnswer(after = 99))
        request(Fault.WORKER_CRASH, Told.CUT, Told.CUT) {
            cutAnswer(after = 99)()
            near.listens = false
        }
        never(OTHER_DAEMON_ALIKE, Fault.KILL, Fault.LOST_ANSWER)
        never("no frame in time cuts the answer, as CUT does", Fault.FREEZE_AND_WAKE, Fault.SILENT_CONNECTION, Fault.DELAY)
        never("frames are counted and summed, see BodyFramesTest", Fault.DUPLICATE, Fault.CROSSED_ANSWER)
        never("see CLAIM_COMPLETION", Fault.STORE_OUT, Fault.STORE_SLOW, Fault.STORE_ANSWER_LOST)
        never("the worker has given its whole answer", Fault.WORKER_SLOW, Fault.WORKER_COLD, Fault.DRAIN)
        never(LOCAL_STEP, Fault.RACING_OPERATORS)
    }

internal val claimCompletion =
    StepCells().apply {
        request(Fault.STORE_OUT, Told.ANSWERED) { recordFaults += List(3) { StoreFault.OUT } }
        request(Fault.STORE_ANSWER_LOST, Told.ANSWERED) { recordFaults += StoreFault.LOST_ANSWER }
        request(Fault.STORE_SLOW, Told.ANSWERED) { recordFaults += StoreFault.LATE_WRITE }
        request(Fault.DUPLICATE, Told.ANSWERED) { sendWhileRecorded() }
        never("the claim stays and a resend is told that its outcome is unknown, see ClaimsModelTest", Fault.KILL, Fault.FREEZE_AND_WAKE)
        never("the store's client meets it as an answer that is lost", Fault.CUT, Fault.SILENT_CONNECTION, Fault.DELAY, Fault.LOST_ANSWER)
        never("answers of the store carry no other request's data: one connection, one exchange", Fault.CROSSED_ANSWER)
        never("the worker is done with the request", Fault.WORKER_COLD, Fault.WORKER_SLOW, Fault.WORKER_CRASH, Fault.DRAIN)
        never("claims do not depend on the configuration's version", Fault.RACING_OPERATORS)
    }

/** The next order comes while the answer of this one is still being recorded. */
private fun MatrixBench.sendWhileRecorded() {
    store.replaceDelayMs = RECORDING_MS
    order(through = 1)
}

private fun AttemptResult.closeBody() {
    if (this is AttemptResult.Answered) body.close()
}

private fun org.endivestep.document.Document.outOf(name: String): org.endivestep.document.Document {
    val centre = dataCentres.values.first { it.name.text == name }
    return copy(dataCentres = dataCentres + (centre.name to centre.copy(state = org.endivestep.document.DataCentreState.OUT)))
}
