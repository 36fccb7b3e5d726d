package org.endivestep.emulator

import io.kotest.assertions.withClue
import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.ints.shouldBeGreaterThanOrEqual
import io.kotest.matchers.ints.shouldBeLessThanOrEqual
import java.io.Closeable
import java.util.Random
import kotlin.concurrent.thread

private const val HOST = "shop.example"
private const val SEED = 37L
private const val SLOTS = 16
private const val WORK_MS = 150L
private const val DEADLINE_MS = 700L
private const val REQUESTS = 1_200

/** Time between two requests of all callers together. */
private const val REQUEST_INTERVAL_MS = 10L

/** A request may still reach its worker that long after its caller has left. */
private const val LATE_AFTER_MS = 500L

/** Requests in all that may reach a worker later than that. */
private const val MAX_LATE = 3

private val configuration =
    """
    {"version":"r3","limits":{"max_header_bytes":16384,"max_body_bytes":1048576,"header_timeout_s":3,"idle_timeout_s":15},
    "listeners":[{"host":"$HOST","rules":[
    {"name":"reads","kind":"idempotent","slo_s":0.5,"priority":2,"match":{"path_prefix":"/reads/"},
    "action":{"service":"stock","timeout_s":2,"attempts":2}}]}],
    "clusters":[{"name":"stock","health_path":"/health","cold_start_s":3.0,"cold_per_s":1000.0},
    {"name":"shop","health_path":"/health","cold_start_s":3.0,"cold_per_s":1000.0}]}
    """.trimIndent().replace("\n", "")

/** Lets [daemon] run for [runMs] and stops it for [stopMs], by turns, until closed. */
private class PartTime(private val daemon: Process, private val runMs: Long, private val stopMs: Long) : Closeable {
    @Volatile
    private var isClosed = false

    private val switching =
        thread(isDaemon = true) {
            while (!isClosed) {
                signal(daemon, "STOP")
                Thread.sleep(stopMs)
                signal(daemon, "CONT")
                Thread.sleep(runMs)
            }
        }

    override fun close() {
        isClosed = true
        switching.join()
    }
}

class DelayedDaemonsProcessTest :
    FunSpec({
        // Guards against work that daemons which are behind start for callers that left long before.
        test("daemons that run only part of the time send hardly any request to a worker long after its caller has left") {
            class Case(val runMs: Long, val stopMs: Long, val minAnswered: Int)
            listOf(
                // Longer stopped at a time than their callers wait, so that hardly any request can be answered.
                Case(runMs = 150, stopMs = 650, minAnswered = 0),
                // A third of a core, in the usual period of a limit on processor time.
                Case(runMs = 30, stopMs = 70, minAnswered = REQUESTS / 2),
            ).forEach { case ->
                DelayedFleet().use { fleet ->
                    val callers = fleet.sendWhileDelayed(case.runMs, case.stopMs)
                    val delaysMs = fleet.delaysMs(callers)
                    val lateMs = delaysMs.filter { it > LATE_AFTER_MS }.sorted()
                    val answered = callers.count { it.status == 200 }
                    val figures = "$answered of $REQUESTS answered, ${delaysMs.count { it > 0 }} begun after the close, late by $lateMs ms"
                    println("delayed daemons, running ${case.runMs} and stopped ${case.stopMs} ms by turns: $figures")
                    withClue(figures) {
                        lateMs.size shouldBeLessThanOrEqual MAX_LATE
                        answered shouldBeGreaterThanOrEqual case.minAnswered
                    }
                    fleet.awaitReads()
                }
            }
        }
    })

/** Two daemons beside callers and two beside workers. */
private class DelayedFleet : Closeable {
    private val calling = listOf(PlatformNode("shop-a", "a", "shop"), PlatformNode("shop-b", "b", "shop"))
    private val serving = listOf(PlatformNode("stock-a", "a", "stock"), PlatformNode("stock-b", "b", "stock"))
    private val fleet = PlatformFleet(calling + serving)
    private val workers: List<RecordingWorker>

    init {
        fleet.startDaemons(configuration)
        calling.forEach(fleet::startWorker)
        workers = serving.map { RecordingWorker(it, SLOTS, WORK_MS) }
        awaitReads()
    }

    fun awaitReads() =
        awaitCondition("reads are answered") {
            calling.all { runCatching { fleet.send(it, HOST, "/reads/1").statusCode() }.getOrNull() == 200 }
        }

    /** Sends [REQUESTS] while all daemons run for [runMs] and stop for [stopMs] by turns; returns how they ended. */
    fun sendWhileDelayed(runMs: Long, stopMs: Long): List<CallerEnd> {
        val random = Random(SEED)
        val callers = (0 until REQUESTS).map { caller("r$it", calling[random.nextInt(calling.size)].callerPort) }
        val partTimes = (calling + serving).map { PartTime(it.daemon, runMs, stopMs) }
        callers.forEach {
            it.start()
            Thread.sleep(REQUEST_INTERVAL_MS)
        }
        val ends = callers.map { it.await() }
        partTimes.forEach { it.close() }
        return ends
    }

    private fun caller(id: String, port: Int) = DeadlineCaller(id, "/reads/$id", port, HOST, DEADLINE_MS)

    /** Returns for each request that reached a worker the time in ms from its caller's leaving to that, negative while it waited. */
    fun delaysMs(ends: List<CallerEnd>): List<Long> {
        // What still is on its way arrives.
        Thread.sleep(DEADLINE_MS)
        return runDelays(workers.flatMap { it.runs }, ends).map { it.delayMs }
    }

    override fun close() {
        workers.forEach { it.close() }
        fleet.close()
    }
}
