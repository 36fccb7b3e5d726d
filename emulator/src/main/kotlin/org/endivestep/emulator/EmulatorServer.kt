package org.endivestep.emulator

import org.eclipse.jetty.io.Content
import org.eclipse.jetty.server.Handler
import org.eclipse.jetty.server.Request
import org.eclipse.jetty.server.Response
import org.eclipse.jetty.server.Server
import org.eclipse.jetty.server.ServerConnector
import org.eclipse.jetty.util.Callback
import org.eclipse.jetty.util.thread.QueuedThreadPool
import org.http4k.core.HttpHandler
import org.http4k.core.Method
import org.http4k.core.Uri
import java.io.IOException
import java.io.OutputStream
import org.http4k.core.Request as Http4kRequest

/** Returns a Jetty server on loopback for [handler], not started yet. A response whose body cannot be read is truncated. */
internal fun emulatorServer(port: Int, threads: Int, handler: HttpHandler): Server {
    val server = Server(QueuedThreadPool(threads).also { it.isDaemon = false })
    val connector = ServerConnector(server, 1, 1)
    connector.host = "127.0.0.1"
    connector.port = port
    connector.acceptQueueSize = ACCEPT_QUEUE_SIZE
    server.addConnector(connector)
    server.handler = EmulatorHandler(handler)
    return server
}

private const val ACCEPT_QUEUE_SIZE = 1_024

private class EmulatorHandler(private val handler: HttpHandler) : Handler.Abstract() {
    override fun handle(request: Request, response: Response, callback: Callback): Boolean {
        try {
            answer(request, response)
            callback.succeeded()
        } catch (e: IOException) {
            callback.failed(e)
        }
        return true
    }

    private fun answer(request: Request, response: Response) {
        val answer =
            handler(
                Http4kRequest(Method.valueOf(request.method), Uri.of(request.httpURI.pathQuery))
                    .headers(request.headers.map { it.name to it.value })
                    .body(Content.Source.asInputStream(request), null),
            )
        response.status = answer.status.code
        answer.headers.forEach { (name, value) -> response.headers.add(name, value.orEmpty()) }
        val output: OutputStream = Content.Sink.asOutputStream(response)
        answer.body.stream.copyTo(output)
        output.close()
    }
}
