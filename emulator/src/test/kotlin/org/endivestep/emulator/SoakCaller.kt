package org.endivestep.emulator

import java.io.BufferedInputStream
import java.io.IOException
import java.net.InetAddress
import java.net.InetSocketAddress
import java.net.Socket
import java.net.SocketTimeoutException
import java.util.Random

/** How a request ended for its caller. */
internal sealed interface Ending {
    /** [message] is whole. */
    class Answered(val message: RawHttpMessage) : Ending {
        val status: Int = message.startLine.split(' ')[1].toInt()
    }

    /** The connection ended, or carried something else than an answer, after the whole request was sent. */
    class Cut(val cause: String) : Ending

    data object TimedOut : Ending

    /** The connection ended before the whole request was sent. */
    data object NotSent : Ending
}

/** A request that a caller on the VM [node] sent, and its [ending]; times are on the clock of [System.nanoTime]. */
internal class SoakRequest(
    val id: String,
    val node: PlatformNode,
    val method: String,
    val path: String,
    val bodyDigest: String,
    val startNanos: Long,
    val sentNanos: Long,
    val endNanos: Long,
    val ending: Ending,
) {
    val isIdempotent: Boolean get() = method == "GET"
    val succeeded: Boolean get() = ending is Ending.Answered && ending.status in 200..299
}

/**
 * Caller on the VM [node]: sends one request after the other and keeps its connection as long as the daemon does. Requests and pauses
 * are drawn from [random].
 */
internal class SoakCaller(
    private val name: String,
    private val node: PlatformNode,
    private val random: Random,
    private val history: SoakHistory,
) {
    private var socket: Socket? = null
    private lateinit var input: BufferedInputStream
    private var count = 0

    /** Sends requests until [isOver]. */
    fun run(isOver: () -> Boolean) {
        while (!isOver()) {
            val connected = socket ?: connect()
            if (connected == null) {
                Thread.sleep(RECONNECT_PAUSE_MS)
                continue
            }
            if (input.available() > 0) history.recordFinding("MIXED: $name got bytes with no request waiting")
            val request = exchange(connected)
            history.record(request)
            val answer = (request.ending as? Ending.Answered)?.message
            if (answer == null || answer.header("Connection").equals("close", ignoreCase = true)) disconnect()
            Thread.sleep((MIN_PAUSE_MS + random.nextInt(MAX_PAUSE_MS - MIN_PAUSE_MS)).toLong())
        }
        disconnect()
    }

    private fun exchange(connected: Socket): SoakRequest {
        val id = "$name-${count++}"
        val path = drawPath() + id
        val isOrder = path.startsWith("/orders/")
        val body = if (isOrder) drawBody(id) else ByteArray(0)
        val startNanos = System.nanoTime()
        val isSent = send(connected, id, path, body)
        val sentNanos = System.nanoTime()
        val ending = if (isSent) receive() else Ending.NotSent
        val digest = AnswerContent.digest(body)
        return SoakRequest(id, node, if (isOrder) "POST" else "GET", path, digest, startNanos, sentNanos, System.nanoTime(), ending)
    }

    // Some bodies are so long that a daemon passes them on while they arrive.
    private fun drawBody(id: String): ByteArray {
        val content = AnswerContent.of("body of $id")
        if (random.nextInt(LONG_BODY_ONE_IN) != 0) return content
        return ByteArray(LONG_BODY_BYTES + content.size) { content[it % content.size] }
    }

    private fun drawPath(): String =
        when (random.nextInt(10)) {
            in 0..3 -> "/reads/"
            in 4..7 -> "/orders/"
            else -> "/added-${(history.configurationCount - random.nextInt(3)).coerceAtLeast(0)}/"
        }

    private fun send(connected: Socket, id: String, path: String, body: ByteArray): Boolean {
        val chunks = random.nextInt(4) == 0
        val framing =
            when {
                body.isEmpty() -> ""
                chunks -> "Transfer-Encoding: chunked\r\n"
                else -> "Content-Length: ${body.size}\r\n"
            }
        val content = if (body.isNotEmpty() && chunks) RawHttpMessage.chunked(body) else body
        val method = if (body.isEmpty()) "GET" else "POST"
        val headers = "Host: ${SoakConfiguration.HOST}\r\nX-Request-Id: $id\r\nX-Deadline-Ms: $DEADLINE_MS\r\n$framing\r\n"
        return try {
            connected.getOutputStream().write("$method $path HTTP/1.1\r\n$headers".toByteArray() + content)
            true
        } catch (_: IOException) {
            false
        }
    }

    private fun receive(): Ending =
        try {
            val answer = RawHttpMessage.read(input, endsWithConnection = true)
            if (answer == null) Ending.Cut("connection closed") else Ending.Answered(answer)
        } catch (_: SocketTimeoutException) {
            Ending.TimedOut
        } catch (e: IOException) {
            Ending.Cut("$e")
        } catch (e: IllegalArgumentException) {
            history.recordFinding("MIXED: $name got bytes that are no answer: $e")
            Ending.Cut("$e")
        }

    private fun connect(): Socket? {
        val opened = Socket()
        try {
            opened.connect(InetSocketAddress(InetAddress.getLoopbackAddress(), node.callerPort), CONNECT_TIMEOUT_MS)
        } catch (_: IOException) {
            opened.close()
            return null
        }
        opened.soTimeout = DEADLINE_MS + ANSWER_SLACK_MS
        input = BufferedInputStream(opened.getInputStream())
        socket = opened
        return opened
    }

    private fun disconnect() {
        socket?.close()
        socket = null
    }

    companion object {
        const val DEADLINE_MS = 2_000
        private const val ANSWER_SLACK_MS = 1_000
        private const val CONNECT_TIMEOUT_MS = 1_000
        private const val RECONNECT_PAUSE_MS = 100L
        private const val MIN_PAUSE_MS = 20
        private const val MAX_PAUSE_MS = 80
        private const val LONG_BODY_ONE_IN = 12
        private const val LONG_BODY_BYTES = 700_000
    }
}
