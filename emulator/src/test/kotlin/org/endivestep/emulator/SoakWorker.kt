package org.endivestep.emulator

import java.io.Closeable
import java.util.UUID
import java.util.concurrent.CopyOnWriteArrayList

/** The worker beside the daemon of [node], which can crash and come back, or stop reading. [chooseFault] spoils its answers. */
internal class SoakWorker(private val node: PlatformNode, private val chooseFault: () -> AnswerFault?) : Closeable {
    private val servers = CopyOnWriteArrayList<SpoilingWorkerServer>()
    private lateinit var heartbeats: PlatformHeartbeats
    private var id = "i-${node.vm}"

    /** Requests that the worker ran, in all of its runs. */
    val runs: List<WorkerRun> get() = servers.flatMap { it.runs }

    fun start() {
        val behaviour = PlatformWorkerBehaviour(id, SLOTS, WORK_MS)
        servers += SpoilingWorkerServer(node.workerPort, node.service, behaviour, chooseFault = chooseFault)
        heartbeats = PlatformHeartbeats("http://127.0.0.1:${node.heartbeatPort}", behaviour, node.service)
        heartbeats.start("127.0.0.1:${node.workerPort}")
    }

    /** Ends the worker with all of its connections, and starts it again [awayMs] later, under its id if it [keepsId]. */
    fun crash(awayMs: Long, keepsId: Boolean) {
        close()
        Thread.sleep(awayMs)
        if (!keepsId) id = "i-${UUID.randomUUID()}"
        start()
    }

    /** Reads nothing from its connections for [durationMs]. */
    fun stopReading(durationMs: Long) {
        val server = servers.last()
        server.readsNothing = true
        Thread.sleep(durationMs)
        server.readsNothing = false
    }

    /** Sends its answers in chunks of one byte without end for [durationMs]. */
    fun answerWithoutEnd(durationMs: Long) {
        val server = servers.last()
        server.answersWithoutEnd = true
        Thread.sleep(durationMs)
        server.answersWithoutEnd = false
    }

    override fun close() {
        heartbeats.close()
        servers.last().close()
    }

    private companion object {
        const val SLOTS = 20
        const val WORK_MS = 20L
    }
}
