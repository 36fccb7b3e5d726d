package org.endivestep.emulator

import org.http4k.core.HttpHandler
import org.http4k.core.Method
import org.http4k.core.Request
import org.http4k.core.Response
import org.http4k.core.Status
import org.http4k.routing.bind
import org.http4k.routing.path
import org.http4k.routing.routes
import java.util.concurrent.atomic.AtomicLong

private const val MAX_VALUE_BYTES = 1_048_576

/** Faults of the emulated store, which can be injected while it runs. */
internal class StoreFaults {
    /** All calls fail. */
    @Volatile
    var unavailable = false

    /** Delay added to each call. */
    @Volatile
    var delayMs = 0L

    /** Writes take effect, but are answered with a timeout. */
    @Volatile
    var losesAnswers = false

    /** Writes are answered with a timeout at once and take effect after this time; 0 disables the fault. */
    @Volatile
    var lateWritesMs = 0L
}

/** Serves [StoreObjects] over HTTP and counts every call; a long-polling watch counts as one. */
internal class StoreServer(private val objects: StoreObjects = StoreObjects(), private val faults: StoreFaults = StoreFaults()) {
    private val reads = AtomicLong()
    private val writes = AtomicLong()
    private val waiting = AtomicLong()

    val handler: HttpHandler =
        routes(
            "/objects" bind Method.GET to ::list,
            "/objects/{key:.+}" bind Method.GET to { request -> call(reads) { read(request) } },
            "/objects/{key:.+}" bind Method.PUT to { request -> call(writes) { write(request) } },
            "/objects/{key:.+}" bind Method.DELETE to { request -> call(writes) { delete(request) } },
            "/faults" bind Method.POST to ::setFaults,
            "/counts" bind Method.GET to { Response(Status.OK).body("reads=$reads writes=$writes waiting=$waiting\n") },
        )

    private fun call(counter: AtomicLong, action: () -> Response): Response {
        counter.incrementAndGet()
        if (faults.delayMs > 0) Thread.sleep(faults.delayMs)
        return if (faults.unavailable) Response(Status.SERVICE_UNAVAILABLE) else action()
    }

    private fun list(request: Request): Response =
        call(reads) { Response(Status.OK).body(objects.keys(request.query("prefix").orEmpty()).joinToString("\n")) }

    private fun read(request: Request): Response {
        val key = key(request)
        val waitMs = request.query("wait-ms")?.toLongOrNull() ?: 0
        val found = if (waitMs > 0) watch(key, request, waitMs) else objects.get(key)
        if (faults.unavailable) return Response(Status.SERVICE_UNAVAILABLE)
        if (found == null) return Response(Status.NOT_FOUND)
        return Response(Status.OK).header("ETag", "\"${found.version}\"").body(found.bytes.inputStream(), found.bytes.size.toLong())
    }

    private fun watch(key: String, request: Request, waitMs: Long): EmulatedObject? {
        waiting.incrementAndGet()
        try {
            return objects.watch(key, version(request.header("If-None-Match")), waitMs) { !faults.unavailable }
        } finally {
            waiting.decrementAndGet()
        }
    }

    private fun write(request: Request): Response {
        val bytes = request.body.stream.readBytes()
        if (bytes.size > MAX_VALUE_BYTES) return Response(Status.REQUEST_ENTITY_TOO_LARGE)
        val condition = condition(request) ?: return Response(Status.BAD_REQUEST)
        if (faults.lateWritesMs > 0) return writeLate(key(request), condition, bytes)
        val written = objects.put(key(request), condition, bytes) ?: return Response(Status.PRECONDITION_FAILED)
        if (faults.losesAnswers) return Response(Status.GATEWAY_TIMEOUT)
        return Response(Status.CREATED).header("ETag", "\"${written.version}\"")
    }

    private fun writeLate(key: String, condition: WriteCondition, bytes: ByteArray): Response {
        val delayMs = faults.lateWritesMs
        Thread {
            Thread.sleep(delayMs)
            objects.put(key, condition, bytes)
        }.start()
        return Response(Status.GATEWAY_TIMEOUT)
    }

    private fun delete(request: Request): Response {
        val condition = condition(request) ?: return Response(Status.BAD_REQUEST)
        val deleted = objects.delete(key(request), condition)
        return Response(if (deleted) Status.NO_CONTENT else Status.PRECONDITION_FAILED)
    }

    private fun setFaults(request: Request): Response {
        request.query("out")?.let { faults.unavailable = it.toBoolean() }
        request.query("delay-ms")?.let { faults.delayMs = it.toLong() }
        request.query("lose-answers")?.let { faults.losesAnswers = it.toBoolean() }
        request.query("late-writes-ms")?.let { faults.lateWritesMs = it.toLong() }
        return Response(Status.OK)
    }

    private fun key(request: Request): String = request.path("key").orEmpty()

    private fun condition(request: Request): WriteCondition? {
        if (request.header("If-None-Match") == "*") return WriteCondition.Absent
        return version(request.header("If-Match"))?.let { WriteCondition.Version(it) }
    }

    private fun version(tag: String?): Long? = tag?.trim('"')?.toLongOrNull()
}
