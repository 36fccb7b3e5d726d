package org.endivestep.emulator

import org.http4k.core.HttpHandler
import org.http4k.core.Method
import org.http4k.core.Request
import org.http4k.core.Response
import org.http4k.core.Status
import java.util.concurrent.ConcurrentLinkedQueue
import java.util.concurrent.atomic.AtomicInteger

/** Parameters and injected fault of an emulated worker of the platform. */
internal class PlatformWorkerBehaviour(val id: String, val slots: Int, val workMs: Long) {
    /** Status with which requests are refused instead of run; 0 for none. */
    @Volatile
    var refusalStatus = 0

    /** Path of the requests that end the worker's process; empty for none. */
    @Volatile
    var crashPath = ""

    /** Caller service of the requests that end the worker's process; empty for any. */
    @Volatile
    var crashCaller = ""
}

/** Emulated worker of the platform: runs a bounded number of requests concurrently and reports its load. */
internal class PlatformWorkerServer(private val behaviour: PlatformWorkerBehaviour) {
    private val running = AtomicInteger()
    private val runs = ConcurrentLinkedQueue<String>()

    val handler: HttpHandler = { request ->
        when (request.uri.path) {
            "/emulator/runs" -> Response(Status.OK).body(runs.joinToString("\n"))
            "/emulator/behaviour" -> changeBehaviour(request)
            else -> answer(request)
        }
    }

    private fun answer(request: Request): Response {
        val id = request.header("X-Request-Id") ?: return Response(Status.BAD_REQUEST).header("X-Not-Run", "1")
        return answerTo(request, id).header("X-Request-Id", id)
    }

    private fun answerTo(request: Request, id: String): Response {
        val expected = request.header("X-Expect-Instance")
        if (expected != null && expected != behaviour.id) {
            return Response(Status(MISDIRECTED_REQUEST, "")).header("X-Instance-Id", behaviour.id)
        }
        if (behaviour.refusalStatus != 0) return Response(Status(behaviour.refusalStatus, "")).header("X-Not-Run", "1")
        if (running.incrementAndGet() > behaviour.slots) {
            running.decrementAndGet()
            return Response(Status.SERVICE_UNAVAILABLE).header("X-Not-Run", "1")
        }
        try {
            return run(request, id)
        } finally {
            running.decrementAndGet()
        }
    }

    private fun run(request: Request, id: String): Response {
        if (crashesOn(request)) Runtime.getRuntime().halt(CRASH_EXIT_CODE)
        val length = request.body.stream.readBytes().size
        val sender = "caller=${request.header("X-Caller")} team=${request.header("X-Tenant")} key=${request.header("Authorization")}"
        runs += "$id ${request.method} ${request.uri} $sender body=$length"
        Thread.sleep(behaviour.workMs)
        return Response(Status.OK)
            .header("X-Server-Stamp", "stamp.$id")
            .header("X-Server-Load", "${running.get()},0,${behaviour.slots},100")
            .body("${behaviour.id} ran $id")
    }

    private fun crashesOn(request: Request): Boolean =
        request.uri.path == behaviour.crashPath && behaviour.crashCaller in setOf("", request.header("X-Caller"))

    private fun changeBehaviour(request: Request): Response {
        if (request.method != Method.POST) return Response(Status.OK)
        request.query("refuses-with")?.toIntOrNull()?.let { behaviour.refusalStatus = it }
        request.query("crash-path")?.let { behaviour.crashPath = it }
        request.query("crash-caller")?.let { behaviour.crashCaller = it }
        return Response(Status.OK)
    }

    private companion object {
        const val MISDIRECTED_REQUEST = 421
        const val CRASH_EXIT_CODE = 134
    }
}
