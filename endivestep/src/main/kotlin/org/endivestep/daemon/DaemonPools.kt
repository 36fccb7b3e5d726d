package org.endivestep.daemon

import java.util.concurrent.ExecutorService
import java.util.concurrent.LinkedBlockingQueue
import java.util.concurrent.RejectedExecutionException
import java.util.concurrent.ScheduledExecutorService
import java.util.concurrent.ScheduledThreadPoolExecutor
import java.util.concurrent.SynchronousQueue
import java.util.concurrent.ThreadPoolExecutor
import java.util.concurrent.TimeUnit
import java.util.concurrent.atomic.AtomicInteger

/** Bounded thread pools, one for each kind of concurrent task. */
internal class DaemonPools {
    /** Runs attempts received from other daemons; a task is rejected if no thread is available. */
    val attemptRunners: ExecutorService = cachedPool("egress", MAX_REQUEST_THREADS)

    /** Serves callers; a request is rejected if no thread is available. */
    val callers: ExecutorService = cachedPool("caller", MAX_REQUEST_THREADS)

    /** Serves the requests of the platform: readiness, metrics and heartbeats. */
    val platform: ExecutorService = cachedPool("platform", MAX_PLATFORM_THREADS)

    /** Sends large request bodies to other daemons. */
    val uploads: ExecutorService = cachedPool("upload", MAX_UPLOAD_THREADS)

    /** Runs second attempts of requests; a task is rejected if no thread is available. */
    val secondAttempts: ExecutorService = cachedPool("second", MAX_SECOND_THREADS)

    /** Starts second attempts when they are due; has a thread only once it is used. */
    val secondTimer: ScheduledExecutorService by lazy {
        ScheduledThreadPoolExecutor(1) { newThread("second-timer", it) }.also { it.removeOnCancelPolicy = true }
    }

    /** Runs callbacks of the transport, which do not block. */
    val transport: ExecutorService = fixedPool("transport", TRANSPORT_THREADS, TRANSPORT_QUEUE)

    private val control: ExecutorService = fixedPool("control", 1, CONTROL_QUEUE)

    /** Runs [task] on the control thread; drops it if the queue of that thread is full. */
    fun submitControl(task: () -> Unit) {
        try {
            control.execute(task)
        } catch (_: RejectedExecutionException) {
            // The next difference between membership tables requests it again.
            return
        }
    }

    private fun cachedPool(name: String, max: Int): ExecutorService =
        ThreadPoolExecutor(0, max, IDLE_SECONDS, TimeUnit.SECONDS, SynchronousQueue()) { newThread(name, it) }

    private fun fixedPool(name: String, threads: Int, queue: Int): ExecutorService =
        ThreadPoolExecutor(threads, threads, IDLE_SECONDS, TimeUnit.SECONDS, LinkedBlockingQueue(queue)) { newThread(name, it) }

    private fun newThread(name: String, task: Runnable): Thread {
        val thread = Thread(task, "$name-${count.incrementAndGet()}")
        thread.isDaemon = true
        return thread
    }

    private val count = AtomicInteger()

    private companion object {
        const val MAX_REQUEST_THREADS = 400
        const val MAX_SECOND_THREADS = 50
        const val MAX_UPLOAD_THREADS = 100
        const val MAX_PLATFORM_THREADS = 8
        const val TRANSPORT_THREADS = 4
        const val TRANSPORT_QUEUE = 100_000
        const val CONTROL_QUEUE = 16
        const val IDLE_SECONDS = 30L
    }
}
