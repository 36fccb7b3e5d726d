package org.endivestep.emulator

import org.http4k.core.HttpHandler
import org.http4k.core.Method
import org.http4k.core.Request
import org.http4k.core.Response
import org.http4k.core.Status
import java.util.concurrent.ConcurrentLinkedQueue
import java.util.concurrent.atomic.AtomicInteger

/** What an emulated worker of the users' platform is and how it behaves. */
internal class PlatformWorkerBehaviour(val id: String, val slots: Int, val workMs: Long) {
    /** Answers this status in place of running, 0 for none. */
    @Volatile
    var refusesWith = 0
}

/** A worker as the users' platform has them: runs a bounded number of requests and tells its load. */
internal class PlatformWorkerServer(private val behaviour: PlatformWorkerBehaviour) {
    private val running = AtomicInteger()
    private val runs = ConcurrentLinkedQueue<String>()

    val handler: HttpHandler = { request ->
        when (request.uri.path) {
            "/emulator/runs" -> Response(Status.OK).body(runs.joinToString("\n"))
            "/emulator/behaviour" -> behave(request)
            else -> answer(request)
        }
    }

    private fun answer(request: Request): Response {
        val id = request.header("X-Request-Id") ?: return Response(Status.BAD_REQUEST).header("X-Not-Run", "1")
        val expected = request.header("X-Expect-Instance")
        if (expected != null && expected != behaviour.id) {
            return Response(Status(OTHER_WORKER_STATUS, "")).header("X-Instance-Id", behaviour.id)
        }
        if (behaviour.refusesWith != 0) return Response(Status(behaviour.refusesWith, "")).header("X-Not-Run", "1")
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
        runs += "$id ${request.method} ${request.uri} caller=${request.header("X-Caller")} body=${request.body.stream.readBytes().size}"
        Thread.sleep(behaviour.workMs)
        return Response(Status.OK)
            .header("X-Request-Id", id)
            .header("X-Server-Stamp", "stamp.$id")
            .header("X-Server-Load", "${running.get()},0,${behaviour.slots},100")
            .body("${behaviour.id} ran $id")
    }

    private fun behave(request: Request): Response {
        if (request.method == Method.POST) request.query("refuses-with")?.toIntOrNull()?.let { behaviour.refusesWith = it }
        return Response(Status.OK)
    }

    private companion object {
        const val OTHER_WORKER_STATUS = 421
    }
}
