package org.endivestep.egress

import io.netty.handler.codec.http.DefaultHttpRequest
import io.netty.handler.codec.http.HttpHeaderNames
import io.netty.handler.codec.http.HttpHeaderValues
import io.netty.handler.codec.http.HttpMethod
import io.netty.handler.codec.http.HttpRequest
import io.netty.handler.codec.http.HttpVersion
import org.endivestep.exchange.AttemptRequest
import org.endivestep.exchange.MessageHeaders
import org.endivestep.exchange.RequestBody
import org.endivestep.exchange.forwarded
import org.endivestep.exchange.monotonicMs
import org.endivestep.http.HttpConnection
import org.endivestep.http.HttpConnectionPool
import org.endivestep.http.HttpResponseEvent
import org.endivestep.outcome.AnswerHead
import java.io.ByteArrayInputStream
import java.io.IOException
import java.io.SequenceInputStream

/**
 * Returns a client for workers, based on Netty, that sends the request's metadata in the headers named by [headers].
 *
 * An answer with the id of another request is discarded, because workers may answer a request
 * twice. Jetty's client closes the connection on such an answer, which would lose the expected one. An answer that cannot be
 * attributed to any request ends the attempt.
 */
internal fun nettyWorkerCall(connections: HttpConnectionPool, headers: MessageHeaders): WorkerCall =
    { worker, request -> WorkerExchange(connections, headers, worker, request).run() }

private class WorkerExchange(
    private val connections: HttpConnectionPool,
    private val headers: MessageHeaders,
    private val worker: LocalWorker,
    private val attempt: AttemptRequest,
) {
    private val address = worker.announcement.address

    @Volatile
    private var cancelled = false

    // Connection of the exchange in progress. A lock guards it, because another request may use the connection when the exchange has ended.
    private val currentLock = Any()
    private var current: HttpConnection? = null

    fun run(): WorkerResult {
        // On the thread that learns of it: the one of this request may have to wait until it runs.
        attempt.cancellation.onCancel { synchronized(currentLock) { current?.close() } }
        while (true) {
            val connection =
                try {
                    connections.begin(address, attempt.requestId, ::isExpected)
                } catch (e: IOException) {
                    return WorkerResult.NotSent(e.toString())
                } catch (_: InterruptedException) {
                    return WorkerResult.Cancelled
                }
            val result = runOn(connection)
            // An idle connection that was closed just before its use says nothing about the worker.
            if (result !is WorkerResult.NotSent || !connection.isReused) return result
        }
    }

    private fun runOn(connection: HttpConnection): WorkerResult =
        try {
            exchange(connection)
        } catch (_: InterruptedException) {
            cancelled = true
            connection.close()
            WorkerResult.Cancelled
        } catch (e: IOException) {
            connection.close()
            failed(e.toString())
        }

    // A body that took until the deadline ends with its connection, and so does an exchange that is cancelled.
    private fun failed(cause: String): WorkerResult =
        if (attempt.cancellation.isCancelled) WorkerResult.Cancelled else WorkerResult.Failed(cause, timedOut = answerRemainingMs() <= 0)

    private fun release(connection: HttpConnection) {
        synchronized(currentLock) { current = null }
        connections.release(address, connection)
    }

    private fun exchange(connection: HttpConnection): WorkerResult {
        if (!attempt.isNeeded(monotonicMs())) {
            release(connection)
            return WorkerResult.Expired
        }
        synchronized(currentLock) { current = connection }
        connection.send(head(), attempt.body, answerRemainingMs(), ::mayWrite)
        return when (val event = connection.next(answerRemainingMs().coerceAtLeast(1))) {
            HttpResponseEvent.NotSent -> {
                release(connection)
                WorkerResult.Expired
            }
            is HttpResponseEvent.Head -> answered(connection, event.head)
            HttpResponseEvent.TimedOut -> {
                connection.close()
                // Connections may stop delivering data permanently, and then usually all connections to the address do.
                connections.closeIdle(address)
                WorkerResult.Failed("no answer before the deadline", timedOut = true)
            }
            is HttpResponseEvent.Failed ->
                if (event.requestSent) failed(event.cause) else WorkerResult.NotSent(event.cause)
            else -> {
                connection.close()
                WorkerResult.Failed("answer body without a head", timedOut = false)
            }
        }
    }

    // Asked by the event loop as the last thing before it writes.
    private fun mayWrite(): Boolean {
        val nowMs = monotonicMs()
        if (cancelled || !attempt.maySend(nowMs)) return false
        attempt.times.writtenMs = nowMs
        return true
    }

    private fun attributionOf(head: AnswerHead) = attributionOf(attempt.requestId, head, headers)

    private fun isExpected(head: AnswerHead): Boolean = attributionOf(head) != AnswerAttribution.OtherRequest

    private fun answered(connection: HttpConnection, head: AnswerHead): WorkerResult {
        val attribution = attributionOf(head)
        if (attribution is AnswerAttribution.Unproved) return unattributed(connection, head, attribution.cause)
        val body = AnswerReader(connection, ::answerRemainingMs) { release(connection) }
        if ((head.contentLength ?: 0) > MAX_BUFFERED_BYTES) return WorkerResult.Answered(head, body, connection::close)
        return buffered(body.readNBytes(MAX_BUFFERED_BYTES + 1), connection, head, body)
    }

    // The rest of the answer is not awaited, and the true answer may still be on its way, so the connection cannot be used again.
    private fun unattributed(connection: HttpConnection, head: AnswerHead, cause: String): WorkerResult {
        connection.close()
        val names = head.headers.map { it.name }
        return WorkerResult.Failed("the answer cannot be attributed to the request: $cause; status ${head.status}, headers $names", false)
    }

    // Reads a short answer to its end first, so that a truncation is detected before anything is forwarded.
    private fun buffered(start: ByteArray, connection: HttpConnection, head: AnswerHead, rest: AnswerReader): WorkerResult =
        if (start.size <= MAX_BUFFERED_BYTES) {
            WorkerResult.Answered(head.withLength(start.size), ByteArrayInputStream(start)) { }
        } else {
            WorkerResult.Answered(head, SequenceInputStream(ByteArrayInputStream(start), rest), connection::close)
        }

    private fun head(): HttpRequest {
        val head = DefaultHttpRequest(HttpVersion.HTTP_1_1, HttpMethod.valueOf(attempt.method), attempt.path)
        attempt.headers.forwarded().forEach { head.headers().add(it.name, it.value) }
        head.headers().set(headers.requestId, attempt.requestId.text)
        head.headers().set(headers.deadlineMs, remainingMs().coerceAtLeast(1).toString())
        head.headers().set(headers.expectedWorker, worker.announcement.incarnation.text)
        when (val body = attempt.body) {
            is RequestBody.Inline -> if (body.bytes.isNotEmpty() || methodHasBody()) setLength(head, body.bytes.size.toLong())
            is RequestBody.Streamed -> if (body.length >= 0) setLength(head, body.length) else setChunked(head)
        }
        return head
    }

    private fun methodHasBody(): Boolean = attempt.method != "GET" && attempt.method != "HEAD" && attempt.method != "DELETE"

    private fun setLength(head: HttpRequest, length: Long) = head.headers().set(HttpHeaderNames.CONTENT_LENGTH, length.toString())

    private fun setChunked(head: HttpRequest) = head.headers().set(HttpHeaderNames.TRANSFER_ENCODING, HttpHeaderValues.CHUNKED)

    private fun remainingMs(): Long = attempt.deadline.remainingMs(monotonicMs())

    private fun answerRemainingMs(): Long = attempt.answerDeadline.remainingMs(monotonicMs())

    private companion object {
        const val MAX_BUFFERED_BYTES = 65_536
    }
}
