package org.endivestep.fakes

import io.netty.channel.nio.NioEventLoopGroup
import org.endivestep.egress.Announcement
import org.endivestep.egress.LocalWorker
import org.endivestep.egress.WorkerPhase
import org.endivestep.egress.WorkerResult
import org.endivestep.egress.nettyWorkerCall
import org.endivestep.exchange.AttemptRequest
import org.endivestep.exchange.CallerLease
import org.endivestep.exchange.Deadline
import org.endivestep.exchange.MessageHeaders
import org.endivestep.exchange.RequestBody
import org.endivestep.exchange.monotonicMs
import org.endivestep.http.HttpConnectionPool
import org.endivestep.identity.AttemptId
import org.endivestep.identity.Fingerprint
import org.endivestep.identity.KindName
import org.endivestep.identity.RequestId
import org.endivestep.identity.ServiceName
import org.endivestep.identity.WorkerIncarnation
import org.endivestep.settings.Address
import java.io.IOException
import java.util.concurrent.TimeUnit

/** A client for workers whose connections all use one event loop. */
internal class WorkerCallFixture : AutoCloseable {
    val loops = NioEventLoopGroup(1)
    private val headers = MessageHeaders(SCRIPTED_ID_HEADER, "Deadline", "Caller", "Expect", "Retry-After")
    private val call = nettyWorkerCall(HttpConnectionPool(loops, connectTimeoutMs = 500), headers)

    /** Returns the result as text, whose first word is the status of a complete answer and whose rest is its body. */
    fun send(address: Address, request: AttemptRequest): String {
        val announcement = Announcement(ServiceName("s"), address, WorkerIncarnation("w"), leaving = false)
        return describe(call(LocalWorker(announcement, WorkerPhase.SERVING), request))
    }

    override fun close() {
        loops.shutdownGracefully(0, 1, TimeUnit.SECONDS)
    }
}

internal fun workerRequest(
    id: String,
    remainingMs: Long = 2_000,
    method: String = "GET",
    body: RequestBody = RequestBody.Inline(ByteArray(0)),
    lease: CallerLease = CallerLease.unlimited(),
    answerRemainingMs: Long = remainingMs,
) = AttemptRequest(
    requestId = RequestId(id),
    attemptId = AttemptId("attempt-$id"),
    service = ServiceName("s"),
    kind = KindName("read"),
    method = method,
    path = "/a/1",
    headers = emptyList(),
    body = body,
    deadline = Deadline(monotonicMs() + remainingMs),
    fingerprint = Fingerprint("print"),
    lease = lease,
    answerDeadline = Deadline(monotonicMs() + answerRemainingMs),
)

/** Longest time in ms for which a body is read. */
private const val MAX_READ_MS = 3_000L

/** Returns the first bytes of the body and reads the others; null when the body is truncated. */
private fun readBody(answered: WorkerResult.Answered): String? =
    try {
        val first = answered.body.readNBytes(1_000_000)
        val untilMs = monotonicMs() + MAX_READ_MS
        val buffer = ByteArray(65_536)
        while (answered.body.read(buffer) >= 0) check(monotonicMs() < untilMs) { "the body was read past its deadline" }
        first.decodeToString()
    } catch (_: IOException) {
        answered.abort()
        null
    }

private fun describe(result: WorkerResult): String =
    when (result) {
        is WorkerResult.Answered -> readBody(result)?.let { "${result.head.status} $it" } ?: "truncated"
        is WorkerResult.Failed -> if (result.timedOut) "timed out" else "failed"
        is WorkerResult.NotSent -> "not sent"
        WorkerResult.Cancelled -> "cancelled"
        WorkerResult.Expired -> "expired"
    }
