package org.endivestep.daemon

import java.util.concurrent.ExecutorService
import java.util.concurrent.LinkedBlockingQueue
import java.util.concurrent.RejectedExecutionException
import java.util.concurrent.SynchronousQueue
import java.util.concurrent.ThreadPoolExecutor
import java.util.concurrent.TimeUnit
import java.util.concurrent.atomic.AtomicInteger

/** Bounded pools of threads, one for each duty that runs many tasks. */
internal class DaemonPools {
    /** Runs attempts of other daemons; a task that finds no thread is rejected. */
    val runners: ExecutorService = growing("egress", MAX_RUNNERS)

    /** Serves callers; a request that finds no thread is rejected. */
    val callers: ExecutorService = growing("caller", MAX_RUNNERS)

    /** Answers the platform. */
    val platform: ExecutorService = growing("platform", MAX_PLATFORM)

    /** Sends long bodies to other daemons. */
    val uploads: ExecutorService = growing("upload", MAX_UPLOADS)

    /** Callbacks of the transport, which do not block. */
    val transport: ExecutorService = fixed("transport", TRANSPORT_THREADS, TRANSPORT_QUEUE)

    private val control: ExecutorService = fixed("control", 1, CONTROL_QUEUE)

    /** Runs [task] on the control thread, or drops it when that is far behind. */
    fun submitControl(task: () -> Unit) {
        try {
            control.execute(task)
        } catch (_: RejectedExecutionException) {
            // The next difference of tables asks again.
            return
        }
    }

    private fun growing(name: String, max: Int): ExecutorService =
        ThreadPoolExecutor(0, max, IDLE_SECONDS, TimeUnit.SECONDS, SynchronousQueue()) { named(name, it) }

    private fun fixed(name: String, threads: Int, queue: Int): ExecutorService =
        ThreadPoolExecutor(threads, threads, IDLE_SECONDS, TimeUnit.SECONDS, LinkedBlockingQueue(queue)) { named(name, it) }

    private fun named(name: String, task: Runnable): Thread {
        val thread = Thread(task, "$name-${count.incrementAndGet()}")
        thread.isDaemon = true
        return thread
    }

    private val count = AtomicInteger()

    private companion object {
        const val MAX_RUNNERS = 400
        const val MAX_UPLOADS = 100
        const val MAX_PLATFORM = 8
        const val TRANSPORT_THREADS = 4
        const val TRANSPORT_QUEUE = 100_000
        const val CONTROL_QUEUE = 16
        const val IDLE_SECONDS = 30L
    }
}
