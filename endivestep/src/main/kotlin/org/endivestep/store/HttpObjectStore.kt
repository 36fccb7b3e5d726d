package org.endivestep.store

import org.eclipse.jetty.client.HttpClient
import org.eclipse.jetty.util.thread.QueuedThreadPool
import org.http4k.client.JettyClient
import org.http4k.core.Body
import org.http4k.core.BodyMode
import org.http4k.core.HttpHandler
import org.http4k.core.Method
import org.http4k.core.Request
import org.http4k.core.Response
import org.http4k.core.Status
import java.io.IOException
import java.nio.ByteBuffer
import java.util.concurrent.TimeUnit

private const val STORE_THREADS = 12
private const val STORE_CONNECTIONS = 32
private const val WATCH_GRACE_MS = 2_000L

/**
 * Returns a client for the object store at [url] that uses HTTP conditional requests.
 *
 * Objects are at `/objects/KEY`; versions are entity tags; a watch is a read with
 * `If-None-Match` and a `wait-ms` parameter. Calls time out after [timeoutMs].
 */
internal fun httpObjectStore(url: String, timeoutMs: Long): ObjectStore {
    val client = startedClient()
    return HttpObjectStore(url, handler(client, timeoutMs)) { waitMs -> handler(client, waitMs + WATCH_GRACE_MS) }
}

private fun startedClient(): HttpClient {
    val client = HttpClient()
    client.executor = QueuedThreadPool(STORE_THREADS, 2).also { it.name = "store-client" }
    client.maxConnectionsPerDestination = STORE_CONNECTIONS
    client.isFollowRedirects = false
    client.start()
    return client
}

private fun handler(client: HttpClient, timeoutMs: Long): HttpHandler =
    inMemory(JettyClient(client, BodyMode.Stream) { it.timeout(timeoutMs, TimeUnit.MILLISECONDS) })

// Reads bodies as bytes, because the in-memory body mode of http4k's client reads them as text and stored values are binary.
private fun inMemory(http: HttpHandler): HttpHandler =
    { request ->
        val response = http(request)
        try {
            val bytes = response.body.stream.use { it.readBytes() }
            response.body(Body(ByteBuffer.wrap(bytes)))
        } catch (e: IOException) {
            Response(Status.GATEWAY_TIMEOUT.description(e.toString()))
        }
    }

private class HttpObjectStore(
    private val url: String,
    private val http: HttpHandler,
    private val watchHttp: (waitMs: Long) -> HttpHandler,
) : ObjectStore {
    override fun get(key: ObjectKey): ReadResult = readResult(http(Request(Method.GET, path(key))))

    override fun list(prefix: String): ListResult {
        val response = http(Request(Method.GET, "$url/objects").query("prefix", prefix))
        if (response.status != Status.OK) return ListResult.Unavailable(response.status.toString())
        val keys = response.bodyString().lines().filter { it.isNotEmpty() }
        return ListResult.Keys(keys.map(::ObjectKey))
    }

    override fun watch(key: ObjectKey, known: ObjectVersion?, timeoutMs: Long): ReadResult {
        val request = Request(Method.GET, path(key)).query("wait-ms", timeoutMs.toString())
        val conditional = request.header("If-None-Match", known?.text ?: "\"absent\"")
        return readResult(watchHttp(timeoutMs)(conditional))
    }

    override fun createIfAbsent(key: ObjectKey, bytes: ByteArray): WriteResult =
        writeResult(http(put(key, bytes).header("If-None-Match", "*")))

    override fun replaceIfVersion(key: ObjectKey, version: ObjectVersion, bytes: ByteArray): WriteResult =
        writeResult(http(put(key, bytes).header("If-Match", version.text)))

    override fun deleteIfVersion(key: ObjectKey, version: ObjectVersion): WriteResult =
        writeResult(http(Request(Method.DELETE, path(key)).header("If-Match", version.text)))

    private fun path(key: ObjectKey): String = "$url/objects/${key.text}"

    private fun put(key: ObjectKey, bytes: ByteArray): Request =
        Request(Method.PUT, path(key)).body(bytes.inputStream(), bytes.size.toLong())

    private fun readResult(response: Response): ReadResult =
        when (response.status.code) {
            200 -> found(response)
            404 -> ReadResult.Absent
            else -> ReadResult.Unavailable(response.status.toString())
        }

    private fun found(response: Response): ReadResult {
        val tag = response.header("ETag") ?: return ReadResult.Unavailable("the answer has no ETag")
        val bytes = response.body.stream.readBytes()
        return ReadResult.Found(StoredObject(ObjectVersion(tag), bytes))
    }

    private fun writeResult(response: Response): WriteResult =
        when (response.status.code) {
            200, 201, 204 -> WriteResult.Written(ObjectVersion(response.header("ETag").orEmpty()))
            412 -> WriteResult.Conflict
            else -> WriteResult.Unknown(response.status.toString())
        }
}
