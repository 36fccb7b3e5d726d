package org.endivestep.emulator

import kotlinx.serialization.json.Json
import kotlinx.serialization.json.JsonArray
import kotlinx.serialization.json.JsonNull
import kotlinx.serialization.json.JsonObject
import kotlinx.serialization.json.JsonPrimitive
import kotlinx.serialization.json.jsonObject
import kotlinx.serialization.json.jsonPrimitive
import kotlinx.serialization.json.longOrNull
import org.http4k.core.HttpHandler
import org.http4k.core.Method
import org.http4k.core.Request
import org.http4k.core.Response
import org.http4k.core.Status
import org.http4k.routing.bind
import org.http4k.routing.path
import org.http4k.routing.routes
import java.util.concurrent.atomic.AtomicLong

/**
 * Serves [PlatformObjects] over the API of the platform's store and counts the calls.
 *
 * Faults are injected at `/faults`, and the store is restored from a copy at `/emulator/restore`.
 */
internal class PlatformStoreServer(private val objects: PlatformObjects = PlatformObjects()) {
    private val calls = AtomicLong()

    @Volatile
    private var faultStatus: Status? = null

    val handler: HttpHandler =
        routes(
            "/-/objects/{kind}" bind Method.GET to { call { read(it.path("kind").orEmpty(), it) }(it) },
            "/-/objects/{kind}" bind Method.POST to { call { create(it.path("kind").orEmpty(), it) }(it) },
            "/-/objects/{kind}/{name}" bind Method.PUT to { call(::replace)(it) },
            "/-/objects/{kind}/{name}" bind Method.DELETE to { call(::delete)(it) },
            "/emulator/restore" bind Method.POST to ::restore,
            "/faults" bind Method.POST to ::setFaults,
            "/counts" bind Method.GET to { Response(Status.OK).body("calls=$calls\n") },
        )

    private fun call(action: (Request) -> Response): HttpHandler =
        { request ->
            calls.incrementAndGet()
            val answer = faultStatus?.let { Response(it) } ?: action(request)
            answer.header(ERA_HEADER, "${objects.era}")
        }

    private fun read(kind: String, request: Request): Response {
        val since = request.query("watch")?.toLongOrNull() ?: return list(kind)
        val changes = objects.changes(kind, since, request.query("wait_ms")?.toLongOrNull() ?: 0)
        faultStatus?.let { return Response(it) }
        if (changes == null) return Response(Status.GONE)
        val events = changes.map { JsonObject(mapOf("object" to it.toJson(), "deleted" to JsonPrimitive(it.deleted))) }
        val at = changes.lastOrNull()?.revision ?: since
        return json(mapOf("events" to JsonArray(events), "at" to JsonPrimitive(at)))
    }

    private fun list(kind: String): Response {
        val at = objects.revision
        val items = objects.list(kind).map { it.toJson() }
        return json(mapOf("items" to JsonArray(items), "more" to JsonPrimitive(false), "at" to JsonPrimitive(at)))
    }

    private fun create(kind: String, request: Request): Response {
        val body = Json.parseToJsonElement(request.bodyString()).jsonObject
        val name = body.getValue("meta").jsonObject.getValue("name").jsonPrimitive.content
        val created = objects.create(kind, name, body["spec"] ?: JsonNull) ?: return Response(Status.CONFLICT)
        return json(created.toJson())
    }

    private fun replace(request: Request): Response {
        val body = Json.parseToJsonElement(request.bodyString()).jsonObject
        val expected = body["meta"]?.jsonObject?.get("rev")?.jsonPrimitive?.longOrNull
        val spec = body["spec"] ?: JsonNull
        val replaced = objects.replace(request.path("kind").orEmpty(), request.path("name").orEmpty(), spec, expected)
        return if (replaced == null) Response(Status.CONFLICT) else json(replaced.toJson())
    }

    private fun delete(request: Request): Response {
        val deleted = objects.delete(request.path("kind").orEmpty(), request.path("name").orEmpty())
        return Response(if (deleted) Status.OK else Status.NOT_FOUND)
    }

    // status=N answers every call with that status, status=0 ends this; forget=true discards the change history.
    private fun setFaults(request: Request): Response {
        request.query("status")?.toIntOrNull()?.let { faultStatus = if (it == 0) null else Status(it, "fault") }
        if (request.query("forget") == "true") objects.discardHistory()
        return Response(Status.OK)
    }

    // seconds=N restores the store from a copy that is N seconds old.
    private fun restore(request: Request): Response {
        val seconds = request.query("seconds")?.toDoubleOrNull() ?: return Response(Status.BAD_REQUEST)
        objects.restore(seconds)
        return Response(Status.OK)
    }

    private fun PlatformObject.toJson(): JsonObject {
        val meta = mapOf("name" to JsonPrimitive(name), "rev" to JsonPrimitive(revision))
        return JsonObject(mapOf("meta" to JsonObject(meta), "spec" to spec, "status" to JsonNull))
    }

    private fun json(content: Map<String, kotlinx.serialization.json.JsonElement>): Response =
        Response(Status.OK).header("Content-Type", "application/json").body(JsonObject(content).toString())

    private companion object {
        const val ERA_HEADER = "Store-Era"
    }
}
