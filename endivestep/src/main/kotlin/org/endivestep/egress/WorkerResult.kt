package org.endivestep.egress

import org.endivestep.exchange.AttemptRequest
import org.endivestep.outcome.AnswerHead
import java.io.InputStream

/** Result of one request to the worker over loopback. */
internal sealed interface WorkerResult {
    /** The answer started. Reading [body] throws [java.io.IOException] when the answer is truncated. */
    class Answered(val head: AnswerHead, val body: InputStream, val abort: () -> Unit) : WorkerResult

    /** No byte of the request was sent. */
    class NotSent(val cause: String) : WorkerResult

    /** The request was no longer needed, or not certainly, before a byte of it was sent. */
    data object Expired : WorkerResult

    /** The request may have reached the worker; its connection is closed and not reused. */
    class Failed(val cause: String, val timedOut: Boolean) : WorkerResult

    /** The caller cancelled the request, which may have reached the worker. */
    data object Cancelled : WorkerResult
}

/** Sends one request to a worker and waits for the start of the answer. */
internal typealias WorkerCall = (worker: LocalWorker, request: AttemptRequest) -> WorkerResult
