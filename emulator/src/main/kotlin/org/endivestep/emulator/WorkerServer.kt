package org.endivestep.emulator

import org.http4k.core.HttpHandler
import org.http4k.core.Method
import org.http4k.core.Request
import org.http4k.core.Response
import org.http4k.core.Status
import org.http4k.routing.bind
import org.http4k.routing.routes
import java.io.ByteArrayInputStream
import java.io.IOException
import java.io.InputStream
import java.security.MessageDigest
import java.util.concurrent.ConcurrentLinkedQueue
import java.util.concurrent.Semaphore
import java.util.concurrent.atomic.AtomicLong
import java.util.concurrent.atomic.AtomicReference

/** Request header that makes an emulated worker exit while it runs the request. */
internal const val CRASH_HEADER = "Emulator-Crash"

/** Request header with a name for the request; the worker records the run under it, so that runs can be counted. */
internal const val NAME_HEADER = "Emulator-Name"

/** Request header that sets the service time of the request in ms. */
internal const val TIME_HEADER = "Emulator-Time-Ms"

/** Request header that sets the size of the response body in bytes. */
internal const val SIZE_HEADER = "Emulator-Size"

/** Emulated worker: runs [WorkerBehaviour.slots] requests concurrently, others wait. Records every run. */
internal class WorkerServer(private val behaviour: WorkerBehaviour, private val crash: () -> Unit) {
    private val slots = Semaphore(behaviour.slots, true)
    private val cold = ColdStart(behaviour)
    private val runs = ConcurrentLinkedQueue<String>()
    private val probes = AtomicLong()
    private val previousId = AtomicReference("none")

    val handler: HttpHandler =
        routes(
            "/health" bind Method.GET to {
                probes.incrementAndGet()
                Response(Status.OK)
            },
            "/load" bind Method.GET to { Response(Status.OK).body("${cold.current}\n") },
            "/emulator/runs" bind Method.GET to { Response(Status.OK).body(runs.joinToString("\n")) },
            "/emulator/state" bind Method.GET to { state() },
            "/emulator/behaviour" bind Method.POST to ::changeBehaviour,
            "/{path:.*}" bind ::run,
        )

    private fun state(): Response =
        Response(Status.OK).body(
            "runs=${runs.size} probes=$probes collapses=${cold.collapses} highest=${cold.maxInFlight} cold=${cold.isCold}\n",
        )

    private fun changeBehaviour(request: Request): Response {
        request.query("shedding")?.let { behaviour.shedding = it.toBoolean() }
        request.query("slow-factor")?.let { behaviour.slowFactor = it.toDouble() }
        request.query("crossed")?.let { behaviour.echoesPreviousId = it.toBoolean() }
        request.query("cut")?.let { behaviour.truncatesAnswers = it.toBoolean() }
        request.query("silent")?.let { behaviour.neverAnswers = it.toBoolean() }
        request.query("cool")?.let { cold.resetToCold() }
        return Response(Status.OK)
    }

    private fun run(request: Request): Response {
        if (behaviour.shedding) return Response(Status.SERVICE_UNAVAILABLE)
        val startedIn = cold.begin()
        slots.acquire()
        try {
            val digest = digest(request.body.stream)
            runs += request.header(NAME_HEADER) ?: "unnamed"
            if (request.header(CRASH_HEADER) != null) crash()
            if (behaviour.neverAnswers) Thread.sleep(NO_ANSWER_MS)
            Thread.sleep(serviceTimeMs(request).toLong())
            return if (cold.end(startedIn)) answer(request, digest) else Response(Status.INTERNAL_SERVER_ERROR)
        } finally {
            slots.release()
        }
    }

    private fun serviceTimeMs(request: Request): Double {
        val base = request.header(TIME_HEADER)?.toDoubleOrNull() ?: behaviour.serviceTimeMs
        return base * behaviour.slowFactor * (if (cold.isCold) COLD_FACTOR else 1.0)
    }

    private fun answer(request: Request, digest: String): Response {
        val id = request.header("Endivestep-Request-Id").orEmpty()
        val previous = previousId.getAndSet(id)
        val echoed = if (behaviour.echoesPreviousId) previous else id
        val text = "name=${request.header(NAME_HEADER)} sha256=$digest\n"
        val size = request.header(SIZE_HEADER)?.toIntOrNull() ?: text.length
        val bytes = text.toByteArray().copyOf(maxOf(size, text.length))
        val response = Response(Status.OK).header("Endivestep-Request-Id", echoed).header("Endivestep-Served-By", behaviour.service)
        if (behaviour.truncatesAnswers) return response.body(TruncatedStream(bytes.copyOf(bytes.size / 2)))
        return response.body(ByteArrayInputStream(bytes), bytes.size.toLong()).header("Content-Length", bytes.size.toString())
    }

    private fun digest(stream: InputStream): String {
        val digest = MessageDigest.getInstance("SHA-256")
        val buffer = ByteArray(BUFFER_BYTES)
        while (true) {
            val count = stream.read(buffer)
            if (count < 0) break
            digest.update(buffer, 0, count)
        }
        return digest.digest().joinToString("") { "%02x".format(it) }
    }

    /** Returns the given bytes, then fails instead of ending. */
    private class TruncatedStream(bytes: ByteArray) : InputStream() {
        private val inner = ByteArrayInputStream(bytes)

        override fun read(): Int {
            val byte = inner.read()
            if (byte < 0) throw IOException("answer truncated by fault injection")
            return byte
        }
    }

    private companion object {
        const val NO_ANSWER_MS = 600_000L
        const val COLD_FACTOR = 4.0
        const val BUFFER_BYTES = 16_384
    }
}
