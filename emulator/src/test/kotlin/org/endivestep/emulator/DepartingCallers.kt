package org.endivestep.emulator

import java.io.BufferedInputStream
import java.io.Closeable
import java.io.IOException
import java.net.InetSocketAddress
import java.net.Socket
import java.util.concurrent.TimeUnit
import kotlin.concurrent.thread

/** How one request ended for its caller; times are on the clock of [System.nanoTime]. */
internal class CallerEnd(
    val id: String,
    val sentNanos: Long,
    /** When the answer had come or the caller closed its connection. */
    val leftNanos: Long,
    /** Status of the answer, 0 without one. */
    val status: Int,
    /** Whether the daemon ended the connection before the answer and before the caller's deadline. */
    val wasCutOff: Boolean = false,
    /** Whether the answer is a worker's. */
    val isWorkers: Boolean = false,
    /** Whether the daemon takes no further request on the connection. */
    val closesConnection: Boolean = false,
)

/** A connection to a daemon at [port] whose requests name [host]. */
internal class CallerConnectionToDaemon(private val port: Int, private val host: String) : Closeable {
    private val socket = Socket()
    private val input by lazy { BufferedInputStream(socket.getInputStream()) }

    /**
     * Sends a request for [path] whose stated deadline is [deadlineMs], and waits for the answer until [patienceMs] have passed; closes the
     * connection unless one came.
     */
    fun exchange(
        id: String,
        path: String,
        deadlineMs: Long,
        patienceMs: Long = deadlineMs,
        method: String = "GET",
        body: ByteArray = ByteArray(0),
    ): CallerEnd {
        val sentNanos = System.nanoTime()
        var wasCutOff = false
        var isWorkers = false
        var closesConnection = false
        var status = 0
        try {
            if (!socket.isConnected) socket.connect(InetSocketAddress("127.0.0.1", port), patienceMs.toInt())
            val length = if (body.isEmpty()) "" else "Content-Length: ${body.size}\r\n"
            val head = "$method $path HTTP/1.1\r\nHost: $host\r\nX-Request-Id: $id\r\nX-Deadline-Ms: $deadlineMs\r\n$length\r\n"
            socket.getOutputStream().write(head.toByteArray() + body)
            val spentMs = TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - sentNanos)
            socket.soTimeout = (patienceMs - spentMs).coerceAtLeast(1).toInt()
            val answer = RawHttpMessage.read(input)
            status = answer?.startLine?.split(' ')?.getOrNull(1)?.toIntOrNull() ?: 0
            wasCutOff = answer == null
            isWorkers = answer?.header("X-Server-Stamp") != null
            closesConnection = answer?.header("Connection").equals("close", ignoreCase = true)
        } catch (_: java.net.SocketTimeoutException) {
            // The caller's time is over.
        } catch (_: IOException) {
            wasCutOff = true
        } finally {
            if (status == 0) socket.close()
        }
        return CallerEnd(id, sentNanos, System.nanoTime(), status, wasCutOff, isWorkers, closesConnection)
    }

    override fun close() = socket.close()
}

/** A caller that sends one request on a connection of its own, and closes it when the answer has come or [patienceMs] have passed. */
internal class DeadlineCaller(
    private val id: String,
    private val path: String,
    private val port: Int,
    private val host: String,
    private val deadlineMs: Long,
    private val patienceMs: Long = deadlineMs,
) {
    private lateinit var ended: CallerEnd
    private lateinit var exchange: Thread

    fun start() {
        exchange =
            thread(isDaemon = true) {
                ended = CallerConnectionToDaemon(port, host).use { it.exchange(id, path, deadlineMs, patienceMs) }
            }
    }

    /** Waits for the caller to leave; returns how its request ended. */
    fun await(): CallerEnd {
        exchange.join()
        return ended
    }
}

/** A worker beside the daemon of [node], in this process, that records what it runs and for each request does [work]. */
internal class RecordingWorker(node: PlatformNode, slots: Int, workMs: Long, work: (RawHttpMessage) -> Unit = { Thread.sleep(workMs) }) :
    Closeable {
    private val behaviour = PlatformWorkerBehaviour("i-${node.vm}", slots, workMs)
    private val server = SpoilingWorkerServer(node.workerPort, node.service, behaviour, work) { null }
    private val heartbeats = PlatformHeartbeats("http://127.0.0.1:${node.heartbeatPort}", behaviour, node.service)

    val runs: Collection<WorkerRun> get() = server.runs

    init {
        heartbeats.start("127.0.0.1:${node.workerPort}")
    }

    override fun close() {
        heartbeats.close()
        server.close()
    }
}

/** A run of the request [id], which began [delayMs] after its caller had left, a negative time while it waited. */
internal class RunDelay(val id: String, val delayMs: Long) {
    override fun toString(): String = "$id $delayMs ms"
}

/** Returns the delays of those of [runs] whose requests are in [ends]. */
internal fun runDelays(runs: Collection<WorkerRun>, ends: Collection<CallerEnd>): List<RunDelay> {
    val leftNanos = ends.associate { it.id to it.leftNanos }
    return runs.mapNotNull { run ->
        leftNanos[run.requestId]?.let { RunDelay(run.requestId, TimeUnit.NANOSECONDS.toMillis(run.startNanos - it)) }
    }
}
