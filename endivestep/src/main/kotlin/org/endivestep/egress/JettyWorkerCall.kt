package org.endivestep.egress

import org.eclipse.jetty.client.BytesRequestContent
import org.eclipse.jetty.client.ContinueProtocolHandler
import org.eclipse.jetty.client.EarlyHintsProtocolHandler
import org.eclipse.jetty.client.HttpClient
import org.eclipse.jetty.client.InputStreamRequestContent
import org.eclipse.jetty.client.InputStreamResponseListener
import org.eclipse.jetty.client.ProcessingProtocolHandler
import org.eclipse.jetty.client.Request
import org.eclipse.jetty.client.Response
import org.eclipse.jetty.http.HttpField
import org.eclipse.jetty.util.thread.QueuedThreadPool
import org.endivestep.exchange.AttemptRequest
import org.endivestep.exchange.RequestBody
import org.endivestep.exchange.forwarded
import org.endivestep.exchange.monotonicMs
import org.endivestep.outcome.AnswerHead
import org.endivestep.outcome.HeaderField
import org.endivestep.outcome.OutcomeHeaders
import org.endivestep.settings.Address
import java.io.InputStream
import java.util.concurrent.ExecutionException
import java.util.concurrent.TimeUnit
import java.util.concurrent.TimeoutException
import java.util.concurrent.atomic.AtomicBoolean

private const val CLIENT_THREADS = 48
private const val CONNECT_TIMEOUT_MS = 1_000L
private const val IDLE_TIMEOUT_MS = 30_000L
private val finalStatuses = 200..599

/** Returns a client for workers, based on Jetty, that opens at most [maxConnections] connections to each worker. */
internal fun jettyWorkerCall(maxConnections: Int): WorkerCall {
    val client = HttpClient()
    client.executor = QueuedThreadPool(CLIENT_THREADS, 2).also { it.name = "worker-client" }
    client.maxConnectionsPerDestination = maxConnections
    client.connectTimeout = CONNECT_TIMEOUT_MS
    client.idleTimeout = IDLE_TIMEOUT_MS
    client.isFollowRedirects = false
    client.userAgentField = null
    client.start()
    client.contentDecoderFactories.clear()
    client.protocolHandlers.clear()
    // Without them an interim answer would count as the final one.
    listOf(ContinueProtocolHandler(), ProcessingProtocolHandler(), EarlyHintsProtocolHandler()).forEach(client.protocolHandlers::put)
    return { worker, request -> JettyExchange(client, worker.announcement.address, request).run() }
}

private class JettyExchange(client: HttpClient, worker: Address, private val attempt: AttemptRequest) {
    private val requestStarted = AtomicBoolean()
    private val listener = InputStreamResponseListener()
    private val request: Request =
        client
            .newRequest("http://$worker" + attempt.path)
            .method(attempt.method)
            .headers { fields ->
                attempt.headers.forwarded().filterNot { it.name.equals("host", true) }.forEach { fields.add(it.name, it.value) }
                fields.put(OutcomeHeaders.REQUEST_ID, attempt.requestId.text)
                fields.put(OutcomeHeaders.SERVICE, attempt.service.text)
                fields.put(OutcomeHeaders.DEADLINE, remainingMs().toString())
            }.onRequestBegin { requestStarted.set(true) }
            // Bounds the whole exchange, the body of the answer included, and so may the worker's silence.
            .timeout(answerRemainingMs(), TimeUnit.MILLISECONDS)
            .idleTimeout(answerRemainingMs(), TimeUnit.MILLISECONDS)

    fun run(): WorkerResult {
        attachBody()
        request.send(listener)
        return try {
            answered(listener.get(answerRemainingMs(), TimeUnit.MILLISECONDS))
        } catch (e: TimeoutException) {
            request.abort(e)
            failure("no answer before the deadline", timedOut = true)
        } catch (e: ExecutionException) {
            failure(e.cause?.toString() ?: e.toString(), timedOut = isOverdue())
        } catch (e: InterruptedException) {
            request.abort(e)
            WorkerResult.Cancelled
        }
    }

    private fun remainingMs(): Long = attempt.deadline.remainingMs(monotonicMs()).coerceAtLeast(1)

    private fun answerRemainingMs(): Long = attempt.answerDeadline.remainingMs(monotonicMs()).coerceAtLeast(1)

    private fun isOverdue(): Boolean = attempt.answerDeadline.remainingMs(monotonicMs()) <= 0

    private fun attachBody() {
        val type = attempt.headers.firstOrNull { it.name.equals("content-type", ignoreCase = true) }?.value
        when (val body = attempt.body) {
            is RequestBody.Inline -> if (body.bytes.isNotEmpty()) request.body(BytesRequestContent(type, body.bytes))
            is RequestBody.Streamed -> request.body(StreamedContent(type, body))
        }
    }

    private fun answered(answer: Response): WorkerResult {
        if (answer.status !in finalStatuses) {
            request.abort(CancelledException())
            return failure("the answer has the status ${answer.status}", timedOut = false)
        }
        val headers = answer.headers.map { field: HttpField -> HeaderField(field.name, field.value.orEmpty()) }
        val abort = { request.abort(CancelledException()).let { } }
        return WorkerResult.Answered(AnswerHead(answer.status, headers), listener.inputStream, abort)
    }

    private fun failure(cause: String, timedOut: Boolean): WorkerResult =
        if (requestStarted.get()) WorkerResult.Failed(cause, timedOut) else WorkerResult.NotSent(cause)

    private class StreamedContent(type: String?, private val body: RequestBody.Streamed) :
        InputStreamRequestContent(type ?: "application/octet-stream", OpenedOnRead(body)) {
        override fun getLength(): Long = body.length
    }

    // The client reads the body only once it is connected; until then the body can be sent to another worker.
    private class OpenedOnRead(body: RequestBody.Streamed) : InputStream() {
        private val stream by lazy(body::open)

        override fun read(): Int = stream.read()

        override fun read(target: ByteArray, start: Int, count: Int): Int = stream.read(target, start, count)
    }

    private class CancelledException : RuntimeException("request aborted: the answer is no longer needed")
}
