package org.endivestep.ingress

import org.eclipse.jetty.http.HttpHeader
import org.eclipse.jetty.http.HttpVersion
import org.eclipse.jetty.io.Content
import org.eclipse.jetty.server.Handler
import org.eclipse.jetty.server.HttpConfiguration
import org.eclipse.jetty.server.HttpConnectionFactory
import org.eclipse.jetty.server.Server
import org.eclipse.jetty.server.ServerConnector
import org.eclipse.jetty.server.handler.GracefulHandler
import org.eclipse.jetty.util.Callback
import org.eclipse.jetty.util.thread.QueuedThreadPool
import org.http4k.core.Headers
import org.http4k.core.HttpHandler
import org.http4k.core.Method
import org.http4k.core.Request
import org.http4k.core.RequestSource
import org.http4k.core.Response
import org.http4k.core.Uri
import java.io.IOException
import java.io.InputStream
import java.nio.ByteBuffer
import java.util.concurrent.CompletableFuture
import java.util.concurrent.ExecutionException
import org.eclipse.jetty.server.Request as JettyRequest
import org.eclipse.jetty.server.Response as JettyResponse

private const val COPY_BYTES = 16_384
private const val IDLE_TIMEOUT_MS = 60_000L
private const val MAX_HEADER_BYTES = 16_384
private const val SELECTORS = 1
private const val ACCEPT_QUEUE = 1_024
private const val STOP_TIMEOUT_MS = 5_000L

/**
 * Returns a Jetty server, not yet started, that passes callers' requests to [handler].
 *
 * http4k's own Jetty adapter is not used: it terminates the response normally when reading its body fails,
 * and splits header values at commas. This adapter closes the connection without terminating the response.
 */
internal fun callerServer(host: String, port: Int, threads: Int, handler: HttpHandler): Server {
    val pool = QueuedThreadPool(threads, MIN_THREADS).also { it.name = "ingress" }
    val server = Server(pool)
    val configuration = HttpConfiguration()
    configuration.sendServerVersion = false
    configuration.sendDateHeader = false
    configuration.requestHeaderSize = MAX_HEADER_BYTES
    val connector = ServerConnector(server, null, null, null, 1, SELECTORS, HttpConnectionFactory(configuration))
    connector.host = host
    connector.port = port
    connector.idleTimeout = IDLE_TIMEOUT_MS
    connector.acceptQueueSize = ACCEPT_QUEUE
    connector.reuseAddress = true
    server.addConnector(connector)
    server.handler = GracefulHandler(CallerHandler(handler))
    server.stopTimeout = STOP_TIMEOUT_MS
    return server
}

private const val MIN_THREADS = 8

private class CallerHandler(private val handler: HttpHandler) : Handler.Abstract() {
    @Suppress("TooGenericExceptionCaught") // On any failure the connection must close without a terminated response.
    override fun handle(request: JettyRequest, response: JettyResponse, callback: Callback): Boolean {
        try {
            answer(request, response)
            callback.succeeded()
        } catch (e: Exception) {
            callback.failed(e)
        }
        return true
    }

    private fun answer(request: JettyRequest, response: JettyResponse) {
        val method = Method.entries.firstOrNull { it.name == request.method }
        when {
            // Without chunked encoding, a truncated response cannot be told from a complete one.
            request.connectionMetaData.httpVersion != HttpVersion.HTTP_1_1 -> response.status = VERSION_NOT_SUPPORTED
            method == null -> response.status = METHOD_NOT_ALLOWED
            else -> send(handler(request.toHttp4k(method)), response)
        }
    }

    private fun send(answer: Response, response: JettyResponse) {
        answer.body.stream.use { body ->
            response.status = answer.status.code
            answer.headers.forEach { (name, value) -> response.headers.add(name, value.orEmpty()) }
            // Chunked even when the connection closes after the response, so that the caller can see where it ends.
            if (!response.headers.contains(HttpHeader.CONTENT_LENGTH)) response.headers.put(HttpHeader.TRANSFER_ENCODING, "chunked")
            copy(body, answer.body.length ?: UNKNOWN_LENGTH, response)
        }
    }

    // Reads the end of the body before sending the last bytes, so that a truncated response never looks complete.
    private fun copy(body: InputStream, length: Long, response: JettyResponse) {
        var held = ByteBuffer.allocate(bufferBytes(length))
        read(body, held)
        val left = if (length < 0) length else length - held.remaining()
        var next = ByteBuffer.allocate(bufferBytes(left))
        do {
            read(body, next)
            val last = !next.hasRemaining()
            write(response, last, held)
            held = next.also { next = held }
        } while (!last)
    }

    private fun bufferBytes(expected: Long): Int = if (expected < 0) COPY_BYTES else expected.coerceIn(1, COPY_BYTES.toLong()).toInt()

    private fun read(body: InputStream, target: ByteBuffer) {
        target.clear()
        target.limit(body.read(target.array()).coerceAtLeast(0))
    }

    private fun write(response: JettyResponse, last: Boolean, buffer: ByteBuffer) {
        val done = CompletableFuture<Unit>()
        response.write(last, buffer, Callback.from({ done.complete(Unit) }, { done.completeExceptionally(it) }))
        try {
            done.get()
        } catch (e: ExecutionException) {
            throw IOException("could not write the response to the caller", e)
        }
    }

    private companion object {
        const val UNKNOWN_LENGTH = -1L
        const val METHOD_NOT_ALLOWED = 405
        const val VERSION_NOT_SUPPORTED = 505
    }
}

private fun JettyRequest.toHttp4k(method: Method): Request {
    val headers: Headers = this.headers.map { it.name to it.value }
    val length = if (hasBody()) this.headers.getLongField(HttpHeader.CONTENT_LENGTH).takeIf { it >= 0 } else 0
    return Request(method, Uri.of(httpURI.pathQuery))
        .headers(headers)
        .source(RequestSource(JettyRequest.getRemoteAddr(this), JettyRequest.getRemotePort(this)))
        .body(Content.Source.asInputStream(this), length)
}

private fun JettyRequest.hasBody(): Boolean =
    headers.contains(HttpHeader.CONTENT_LENGTH) || headers.contains(HttpHeader.TRANSFER_ENCODING)
