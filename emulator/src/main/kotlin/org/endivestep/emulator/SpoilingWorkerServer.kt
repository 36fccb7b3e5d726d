package org.endivestep.emulator

import java.io.BufferedInputStream
import java.io.Closeable
import java.io.FilterInputStream
import java.io.IOException
import java.io.InputStream
import java.net.InetAddress
import java.net.ServerSocket
import java.net.Socket
import java.util.concurrent.ConcurrentLinkedQueue
import java.util.concurrent.CopyOnWriteArrayList
import java.util.concurrent.atomic.AtomicInteger
import kotlin.concurrent.thread

/** A request that a [SpoilingWorkerServer] ran; [startNanos] is on the clock of [System.nanoTime]. */
internal class WorkerRun(
    val requestId: String,
    val target: String,
    val caller: String?,
    val bodyDigest: String,
    val service: String,
    val startNanos: Long,
    /** How the answer was spoilt, or null if it was not. */
    val fault: AnswerFault?,
    /** Whether a second copy of an earlier answer was sent before the answer to this request. */
    val followsCopy: Boolean,
) {
    /** Whether the worker crashed before it had answered, or sent an answer without end. */
    @Volatile
    var hasNoWholeAnswer = false

    /** Whether the worker itself may have kept the caller from the answer. */
    val isSpoilt: Boolean get() = fault != null || followsCopy || hasNoWholeAnswer
}

/**
 * Emulated worker of the platform on plain sockets, which can spoil its answers in ways that a server library does not allow.
 *
 * For each request that it runs it asks [chooseFault] how to spoil the answer. Answers to other requests are as [AnswerContent] says.
 */
internal class SpoilingWorkerServer(
    port: Int,
    private val service: String,
    private val behaviour: PlatformWorkerBehaviour,
    /** What the worker does with a request before it answers; blocks. */
    private val work: (RawHttpMessage) -> Unit = { Thread.sleep(behaviour.workMs) },
    private val chooseFault: () -> AnswerFault?,
) : Closeable {
    private val listener = ServerSocket(port, ACCEPT_QUEUE_SIZE, InetAddress.getLoopbackAddress())
    private val connections = CopyOnWriteArrayList<Socket>()
    private val running = AtomicInteger()
    private val recorded = ConcurrentLinkedQueue<WorkerRun>()

    /** Requests that this worker ran, in the order in which they started. */
    val runs: Collection<WorkerRun> get() = recorded

    /** Whether nothing more is read from the connections for now. */
    @Volatile
    var readsNothing = false

    /** Whether answers are sent in chunks of one byte without end for now. */
    @Volatile
    var answersWithoutEnd = false

    init {
        thread(isDaemon = true, name = "worker-${behaviour.id}") { accept() }
    }

    override fun close() {
        listener.close()
        connections.forEach { it.close() }
    }

    private fun accept() {
        while (!listener.isClosed) {
            try {
                val socket = listener.accept()
                connections += socket
                thread(isDaemon = true) { serve(socket) }
            } catch (_: IOException) {
                // The listener was closed.
            }
        }
    }

    private fun serve(socket: Socket) {
        try {
            val input = BufferedInputStream(PausableInput(socket.getInputStream()))
            var late = ByteArray(0)
            while (true) {
                val request = RawHttpMessage.read(input) ?: break
                val answer = answer(request, followsCopy = late.isNotEmpty())
                socket.getOutputStream().write(late + answer.bytes)
                if (answer.fault == AnswerFault.TRUNCATED_BY_RESET) resetOnClose(socket)
                if (answer.isEndless) sendChunksUntilClosed(socket)
                if (answer.closes) break
                late = if (answer.fault == AnswerFault.LATE_COPY) answer.bytes else ByteArray(0)
            }
        } catch (_: IOException) {
            // The daemon closed the connection.
        } finally {
            connections -= socket
            socket.close()
        }
    }

    private inner class PausableInput(input: InputStream) : FilterInputStream(input) {
        override fun read(target: ByteArray, start: Int, count: Int): Int {
            while (readsNothing && !listener.isClosed) Thread.sleep(READ_CHECK_MS)
            return super.read(target, start, count)
        }
    }

    private fun resetOnClose(socket: Socket) {
        Thread.sleep(RESET_DELAY_MS)
        socket.setSoLinger(true, 0)
    }

    private fun sendChunksUntilClosed(socket: Socket) {
        val chunks = "1\r\nz\r\n".repeat(CHUNKS_OF_A_WRITE).toByteArray()
        while (!listener.isClosed) socket.getOutputStream().write(chunks)
    }

    private class Answer(val bytes: ByteArray, val fault: AnswerFault? = null, val isEndless: Boolean = false) {
        val closes = fault in closingFaults
    }

    private fun answer(request: RawHttpMessage, followsCopy: Boolean): Answer {
        val id = request.header("X-Request-Id")
        val expected = request.header("X-Expect-Instance")
        return when {
            request.startLine.split(' ')[1] == HEALTH_PATH -> plain("200 OK", "X-Instance-Id: ${behaviour.id}\r\n$loadHeader")
            id == null -> plain("400 Bad Request", "X-Not-Run: 1\r\n")
            expected != null && expected != behaviour.id ->
                plain("421 Misdirected Request", echo(id) + "X-Instance-Id: ${behaviour.id}\r\n")
            running.incrementAndGet() > behaviour.slots -> refusal(id)
            else -> run(request, id, followsCopy)
        }
    }

    private fun refusal(id: String): Answer {
        running.decrementAndGet()
        return plain("503 Service Unavailable", echo(id) + "X-Not-Run: 1\r\n$loadHeader")
    }

    private fun echo(id: String) = "X-Request-Id: $id\r\n"

    private fun run(request: RawHttpMessage, id: String, followsCopy: Boolean): Answer {
        val fault = chooseFault()
        val target = request.startLine.substringBeforeLast(' ')
        val digest = AnswerContent.digest(request.body)
        val run = WorkerRun(id, target, request.header("X-Caller"), digest, service, System.nanoTime(), fault, followsCopy)
        recorded += run
        try {
            work(request)
            run.hasNoWholeAnswer = listener.isClosed || answersWithoutEnd
            return if (answersWithoutEnd) Answer(endlessHead(id), isEndless = true) else Answer(spoilt(id, fault), fault)
        } finally {
            running.decrementAndGet()
        }
    }

    private fun endlessHead(id: String) =
        "HTTP/1.1 200 OK\r\n${echo(id)}X-Server-Stamp: ${AnswerContent.signature(id)}\r\nTransfer-Encoding: chunked\r\n\r\n".toByteArray()

    private fun spoilt(id: String, fault: AnswerFault?): ByteArray {
        if (fault == AnswerFault.GARBAGE) return "\u0007\u0007 no answer \u0007\r\n".toByteArray()
        val body = AnswerContent.of(id)
        val chunks = body.size % 2 == 0
        val end =
            when {
                fault == AnswerFault.TRUNCATED_BY_RESET -> "Connection: close"
                chunks -> "Transfer-Encoding: chunked"
                else -> "Content-Length: ${body.size}"
            }
        val status = if (fault == AnswerFault.SERVER_ERROR) "500 Internal Server Error" else "200 OK"
        val requestId = if (fault == AnswerFault.WITHOUT_REQUEST_ID) "" else echo(id)
        val signature = if (fault == AnswerFault.WITHOUT_SIGNATURE) "" else "X-Server-Stamp: ${AnswerContent.signature(id)}\r\n"
        val head = "HTTP/1.1 $status\r\n$requestId$signature$loadHeader$end\r\n\r\n".toByteArray()
        val content = if (chunks && fault != AnswerFault.TRUNCATED_BY_RESET) RawHttpMessage.chunked(body) else body
        return head + if (fault in truncatingFaults) content.copyOf(content.size / 2) else content
    }

    private val loadHeader get() = "X-Server-Load: ${running.get()},0,${behaviour.slots},100\r\n"

    private fun plain(status: String, headers: String) = Answer("HTTP/1.1 $status\r\n${headers}Content-Length: 0\r\n\r\n".toByteArray())

    private companion object {
        const val ACCEPT_QUEUE_SIZE = 1_024

        // A reset discards what the receiver has not read yet.
        const val RESET_DELAY_MS = 30L
        const val READ_CHECK_MS = 20L
        const val CHUNKS_OF_A_WRITE = 1_000
        const val HEALTH_PATH = "/health"
        val truncatingFaults = setOf(AnswerFault.TRUNCATED, AnswerFault.TRUNCATED_BY_RESET)
        val closingFaults = truncatingFaults + AnswerFault.GARBAGE
    }
}
