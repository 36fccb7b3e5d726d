package org.endivestep.fakes

import com.sun.net.httpserver.HttpExchange
import com.sun.net.httpserver.HttpServer
import org.endivestep.settings.Address
import java.io.Closeable
import java.net.InetSocketAddress
import java.util.concurrent.Executors

private const val GONE = 410
private const val OK = 200
private const val WAIT_STEP_MS = 10L

/** The platform's store over HTTP, which can be restored from a copy: revisions go back, and the era rises. */
internal class RestorableStore : Closeable {
    private class Change(val kind: String, val name: String, val spec: String, val revision: Long, val deleted: Boolean)

    /** State of the store at one moment. */
    class Copy internal constructor(internal val revision: Long, internal val history: List<Any>)

    private val executor = Executors.newCachedThreadPool()
    private val server = HttpServer.create(InetSocketAddress("127.0.0.1", 0), 0)
    private var history = listOf<Change>()
    private var revision = 1L
    private var era = 0L

    val address = Address("127.0.0.1", server.address.port)

    init {
        server.executor = executor
        server.createContext("/-/objects/", ::answer)
        server.start()
    }

    @Synchronized
    fun write(kind: String, name: String, spec: String) {
        history = history + Change(kind, name, spec, ++revision, deleted = false)
    }

    @Synchronized
    fun delete(kind: String, name: String) {
        history = history + Change(kind, name, "{}", ++revision, deleted = true)
    }

    @Synchronized
    fun copy() = Copy(revision, history)

    @Synchronized
    fun restore(copy: Copy) {
        history = copy.history.filterIsInstance<Change>()
        revision = copy.revision
        era++
    }

    override fun close() {
        server.stop(0)
        executor.shutdownNow()
    }

    private fun answer(exchange: HttpExchange) {
        val kind = exchange.requestURI.path.removePrefix("/-/objects/")
        val query = exchange.requestURI.query.orEmpty().split('&').associate { it.substringBefore('=') to it.substringAfter('=') }
        val since = query["watch"]?.toLong()
        val text = if (since == null) list(kind) else watch(kind, since, query["wait_ms"]?.toLong() ?: 0)
        exchange.responseHeaders.add("Store-Era", "${synchronized(this) { era }}")
        val bytes = text.orEmpty().toByteArray()
        exchange.sendResponseHeaders(if (text == null) GONE else OK, if (bytes.isEmpty()) -1 else bytes.size.toLong())
        exchange.responseBody.use { it.write(bytes) }
    }

    @Synchronized
    private fun list(kind: String): String {
        val latest = history.filter { it.kind == kind }.groupBy { it.name }.values.map { it.last() }.filter { !it.deleted }
        return """{"items":[${latest.joinToString(",", transform = ::json)}],"more":false,"at":$revision}"""
    }

    private fun watch(kind: String, since: Long, waitMs: Long): String? {
        val untilMs = System.currentTimeMillis() + waitMs
        while (true) {
            synchronized(this) {
                if (since > revision) return null
                val events = history.filter { it.kind == kind && it.revision > since }
                if (events.isNotEmpty() || System.currentTimeMillis() > untilMs) {
                    return """{"events":[${events.joinToString(",") { event(it) }}],"at":$revision}"""
                }
            }
            Thread.sleep(WAIT_STEP_MS)
        }
    }

    private fun event(change: Change) = """{"object":${json(change)},"deleted":${change.deleted}}"""

    private fun json(change: Change) = """{"meta":{"name":"${change.name}","rev":${change.revision}},"spec":${change.spec},"status":null}"""
}
