package org.endivestep.ingress

/** Bounds on the pipelined requests of one caller connection. */
internal data class PipelineLimits(
    /** Requests that run at the same time. */
    val maxRunning: Int = 8,
    /** Requests that wait to run before no more are read. */
    val maxWaiting: Int = 16,
    /** Bytes in bodies of requests that wait to run before no more are read. */
    val maxWaitingBytes: Int = 131_072,
)

/** A request on a connection; [bytes] is the length of its buffered body. */
internal interface PipelinedRequest {
    val bytes: Int

    /** Whether the request may run while requests before it on the connection run, and while requests behind it run. */
    val mayOverlap: Boolean

    /** Whether its answer is the last one on the connection, so that requests behind it are not run. */
    val endsConnection: Boolean
}

/**
 * Order of the requests on one caller connection.
 *
 * A caller may send requests before the earlier ones are answered. Requests that may overlap run at the same
 * time; any other one runs alone. The first running request is the one whose answer is sent next. Nothing
 * starts behind a request that ends the connection, or after [close].
 *
 * A pure state machine. Not thread-safe.
 */
internal class RequestPipeline<R : PipelinedRequest>(private val limits: PipelineLimits = PipelineLimits()) {
    private val running = ArrayDeque<R>()
    private val waiting = ArrayDeque<R>()
    private var waitingBytes = 0

    /** Whether no further request is accepted or started. */
    var isClosed = false
        private set

    val isIdle: Boolean get() = running.isEmpty() && waiting.isEmpty()

    /** Whether reading from the caller must pause. A request that is added nevertheless is kept. */
    val isFull: Boolean get() = waiting.size >= limits.maxWaiting || waitingBytes >= limits.maxWaitingBytes

    /** The requests that run, in their order, and those that wait. */
    val all: List<R> get() = running + waiting

    /** The request whose answer is sent next, or null when none runs. */
    val first: R? get() = running.firstOrNull()

    /** Whether the answer to [first] is the last one on the connection; [closing] when the server closes connections. */
    fun endsWithFirst(closing: Boolean): Boolean = first?.endsConnection == true || (closing && running.size <= 1)

    /** Adds a request behind the others; it is dropped when the connection ends before it. */
    fun add(request: R) {
        if (isClosed) return
        waiting.addLast(request)
        waitingBytes += request.bytes
    }

    /**
     * Returns the next request to run and records it as running, or null when none may start. While the server
     * is [closing], a request starts only when no other one runs, so that none is cut off behind the last answer.
     */
    fun startNext(closing: Boolean): R? {
        val next = waiting.firstOrNull() ?: return null
        if (isClosed || !mayStart(next, closing)) return null
        waiting.removeFirst()
        waitingBytes -= next.bytes
        running.addLast(next)
        return next
    }

    private fun mayStart(next: R, closing: Boolean): Boolean {
        if (running.isEmpty()) return true
        if (closing || running.size >= limits.maxRunning || running.last().endsConnection) return false
        return next.mayOverlap && running.all { it.mayOverlap }
    }

    /** Puts [request], the last one that started, back to the front of the waiting requests. */
    fun putBack(request: R) {
        check(running.lastOrNull() === request) { "only the request that started last can be put back" }
        running.removeLast()
        waiting.addFirst(request)
        waitingBytes += request.bytes
    }

    /** Removes [first] after its answer was sent, and returns the request whose answer is sent next. */
    fun endFirst(): R? {
        check(running.isNotEmpty()) { "no request is running" }
        running.removeFirst()
        return first
    }

    /** Drops the waiting requests and accepts no more; returns the running ones, none of which is answered any more after [first]. */
    fun close(): List<R> {
        isClosed = true
        waiting.clear()
        waitingBytes = 0
        return running.toList()
    }
}
