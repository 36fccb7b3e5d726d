package org.endivestep.emulator

import io.kotest.assertions.withClue
import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.collections.shouldBeEmpty
import io.kotest.matchers.ints.shouldBeGreaterThanOrEqual
import java.io.Closeable
import java.io.File
import java.util.Random
import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.ConcurrentLinkedQueue
import java.util.concurrent.TimeUnit
import java.util.concurrent.atomic.AtomicInteger
import kotlin.concurrent.thread

private const val HOST = "shop.example"
private const val SEED = 57L
private const val NODES = 59
private const val DATA_CENTRES = 4
private const val SLOTS = 16
private const val DEADLINE_MS = 4_000L

/** Time before its deadline from which on the end of a request counts as one at its deadline. */
private const val DEADLINE_MARGIN_MS = 200L
private const val PAUSE_AFTER_REFUSAL_MS = 250L

/** Time that the platform gives a daemon to stop, and the part of it in which a worker that is still at work may be cut off. */
private const val GRACE_MS = 6_000L
private const val LATE_IN_GRACE_MS = GRACE_MS - GRACE_MS / 6

/** A request that was sent later than that after the signal must be refused if it may last too long. */
private const val LAST_SENT_MS = 3_000L

/** Time after a signal in which the platform counts a request that was broken off as lost. */
private const val AROUND_STOP_MS = GRACE_MS + 1_000L

/** One of this many requests has a body that is sent to another daemon only after its admission. */
private const val REQUESTS_PER_LONG_BODY = 20
private const val SHORT_BODY_BYTES = 200
private const val LONG_BODY_BYTES = 20_000

/** Time between two versions of the configuration. */
private const val CONFIGURATION_INTERVAL_MS = 2_000L

/** How long orders last, with their shares in percent. */
private val workTimes = listOf(80 to 120L, 15 to 900L, 5 to 2_500L)

private fun configuration(version: Int) =
    """
    {"version":"r$version","limits":{"max_header_bytes":16384,"max_body_bytes":1048576,"header_timeout_s":3,"idle_timeout_s":15},
    "listeners":[{"host":"$HOST","rules":[
    {"name":"orders","kind":"non_idempotent","slo_s":0.6,"priority":2,"match":{"path_prefix":"/orders/"},
    "action":{"service":"stock","timeout_s":20,"attempts":2}}]}],
    "clusters":[{"name":"stock","health_path":"/health","cold_start_s":3.0,"cold_per_s":1000.0}]}
    """.trimIndent().replace("\n", "")

class StoppedFleetProcessTest :
    FunSpec({
        // Guards against a status of a daemon's own in place of the answer of a worker at work, while daemons stop in series (issue 57).
        test("no order that its worker runs is broken off by a daemon while daemons stop one after the other") {
            class Case(val name: String, val load: OrderLoad, val minAnswered: Int)
            StoppingFleet().use { fleet ->
                val lost = mutableListOf<LostOrder>()
                val refusedButRun = mutableListOf<String>()
                val runTwice = mutableListOf<String>()
                listOf(
                    Case("calm", OrderLoad(callers = 1, pauseMs = 800, stopIntervalMs = 700, changes = false), minAnswered = 300),
                    Case("with new configurations", OrderLoad(callers = 3, pauseMs = 300, stopIntervalMs = 500, changes = true), 600),
                    Case("more than the machine bears", OrderLoad(callers = 8, pauseMs = 200, stopIntervalMs = 300, changes = true), 600),
                ).forEach { case ->
                    val ended = fleet.sendWhileStopping(case.load)
                    println("stopped fleet, ${case.name}: ${ended.figures}")
                    withClue("${case.name}: ${ended.figures}") { ended.answered shouldBeGreaterThanOrEqual case.minAnswered }
                    lost += ended.lost
                    refusedButRun += ended.refusedButRun
                    runTwice += ended.runTwice
                    fleet.awaitReady()
                }
                if (lost.isNotEmpty()) fleet.keepLogs()
                withClue("lost") { lost.shouldBeEmpty() }
                withClue("refused as not run, and run") { refusedButRun.shouldBeEmpty() }
                withClue("run more than once") { runTwice.shouldBeEmpty() }
            }
        }
    })

/** Orders that [callers] on each VM send on kept connections, and what the platform does meanwhile. */
private class OrderLoad(
    val callers: Int,
    val pauseMs: Long,
    val stopIntervalMs: Long,
    /** Whether daemons also read their settings again, and the configuration changes. */
    val changes: Boolean,
)

/** An order that its worker ran, and whose caller got no answer of a worker, although its deadline had not passed. */
private class LostOrder(val end: CallerEnd, val takenBy: PlatformNode, val isAroundStop: Boolean) {
    override fun toString(): String {
        val elapsedMs = TimeUnit.NANOSECONDS.toMillis(end.leftNanos - end.sentNanos)
        return "${end.id} at ${takenBy.vm}: ${end.status} after $elapsedMs ms${if (isAroundStop) ", around its stop" else ""}"
    }
}

private class EndedOrders(val ends: Map<CallerEnd, PlatformNode>, runs: Collection<OrderRun>, stops: Stops) {
    private val runsById = runs.associateBy { it.id }
    val runTwice = runs.groupingBy { it.id }.eachCount().filter { it.value > 1 }.keys
    val refusedButRun = ends.keys.filter { it.status in refusals && !it.isWorkers && it.id in runsById }.map { it.id }
    val answered = ends.keys.count { it.isWorkers }
    val lost =
        ends.entries.mapNotNull { (end, node) ->
            val run = runsById[end.id]
            if (run == null || !end.isBrokenOff() || stops.excuse(end, node, run)) null else LostOrder(end, node, stops.isAround(end, node))
        }
    val figures: String
        get() {
            val statuses = ends.keys.filterNot { it.isWorkers }.groupingBy { it.status }.eachCount()
            val unrun = ends.keys.count { it.status == BAD_GATEWAY && it.id !in runsById }
            val times = ends.keys.filter { it.isWorkers }.map { TimeUnit.NANOSECONDS.toMillis(it.leftNanos - it.sentNanos) }.sorted()
            return "$answered of ${ends.size} answered, median ${times.getOrNull(times.size / 2)} ms, 99 in 100 within " +
                "${times.getOrNull(times.size * 99 / 100)} ms; others by status $statuses, 502 without a run $unrun; " +
                "refused but run $refusedButRun, run twice $runTwice, lost ${lost.size}, ${lost.count {
                    it.isAroundStop
                }} around a stop of the daemon that took them: $lost"
        }

    private fun CallerEnd.isBrokenOff(): Boolean {
        val elapsedMs = TimeUnit.NANOSECONDS.toMillis(leftNanos - sentNanos)
        return !isWorkers && (status != 0 || wasCutOff) && elapsedMs < DEADLINE_MS - DEADLINE_MARGIN_MS
    }

    private companion object {
        const val BAD_GATEWAY = 502
        val refusals = setOf(408, 421, 429, 503)
    }
}

/** A run of the order [id] at the worker of [node], until [endNanos]. */
private class OrderRun(val id: String, val node: PlatformNode, val endNanos: Long)

/** When a daemon got SIGTERM and when its process was gone, on the clock of [System.nanoTime]. */
private class Stop(val signalNanos: Long) {
    @Volatile
    var exitNanos = Long.MAX_VALUE
}

/** The stops of all daemons. */
private class Stops {
    private val byNode = ConcurrentHashMap<PlatformNode, MutableCollection<Stop>>()

    fun add(node: PlatformNode): Stop =
        Stop(System.nanoTime()).also { byNode.computeIfAbsent(node) { ConcurrentLinkedQueue() } += it }

    fun isAround(end: CallerEnd, node: PlatformNode): Boolean =
        of(node).any { end.leftNanos - it.signalNanos in 0..AROUND_STOP_MS.toNanos() }

    /** Whether the worker was still at work on a request when the grace period of one of its daemons ended, so that neither could wait. */
    fun excuse(end: CallerEnd, takenBy: PlatformNode, run: OrderRun): Boolean =
        (of(takenBy) + of(run.node)).any { stop ->
            val sentInTime = end.sentNanos - stop.signalNanos <= LAST_SENT_MS.toNanos()
            val livedOn = stop.exitNanos - stop.signalNanos >= LATE_IN_GRACE_MS.toNanos()
            sentInTime && livedOn && run.endNanos - stop.signalNanos in LATE_IN_GRACE_MS.toNanos()..AROUND_STOP_MS.toNanos()
        }

    private fun of(node: PlatformNode): Collection<Stop> = byNode[node].orEmpty()

    private fun Long.toNanos() = TimeUnit.MILLISECONDS.toNanos(this)
}

/** [NODES] daemons, each beside a worker of one service. */
private class StoppingFleet : Closeable {
    private val nodes = (0 until NODES).map { PlatformNode("vm-$it", "zone-${it % DATA_CENTRES}", "stock") }
    private val fleet = PlatformFleet(nodes)
    private val runs = ConcurrentLinkedQueue<OrderRun>()
    private val workers: List<RecordingWorker>
    private val requestNumber = AtomicInteger()
    private val version = AtomicInteger(1)

    init {
        runCatching { fleet.startDaemons(configuration(version.get())) }.onFailure { fleet.close() }.getOrThrow()
        workers = nodes.map { node -> RecordingWorker(node, SLOTS, workTimes.first().second) { work(node, it) } }
        awaitReady()
    }

    // The time that an order lasts is the last part of its path.
    private fun work(node: PlatformNode, order: RawHttpMessage) {
        val workMs = order.startLine.split(' ')[1].substringAfterLast('/').toLong()
        Thread.sleep(workMs)
        runs += OrderRun(order.header("X-Request-Id").orEmpty(), node, System.nanoTime())
    }

    fun awaitReady() =
        awaitCondition("all daemons answer") {
            nodes.all { runCatching { fleet.send(it, HOST, "/orders/ready/1", "POST").statusCode() }.getOrNull() == 200 }
        }

    fun sendWhileStopping(load: OrderLoad): EndedOrders {
        val stops = Stops()
        val ends = ConcurrentHashMap<CallerEnd, PlatformNode>()
        val untilNanos = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(SEND_MS)
        val callers =
            nodes.flatMap { node ->
                (0 until load.callers).map { number -> thread(isDaemon = true) { send(node, number, load, untilNanos, ends) } }
            }
        val stopper = thread(isDaemon = true) { stopInSeries(load, untilNanos, stops) }
        val changer = if (load.changes) thread(isDaemon = true) { changeConfiguration(untilNanos) } else null
        callers.forEach { it.join() }
        stopper.join()
        changer?.join()
        // What was broken off is still at work.
        Thread.sleep(workTimes.last().second)
        return EndedOrders(ends, runs, stops)
    }

    private fun send(node: PlatformNode, number: Int, load: OrderLoad, untilNanos: Long, ends: MutableMap<CallerEnd, PlatformNode>) {
        val random = Random(SEED * NODES * nodes.indexOf(node) + number)
        Thread.sleep(random.nextInt(load.pauseMs.toInt()).toLong())
        var connection = CallerConnectionToDaemon(node.callerPort, HOST)
        while (System.nanoTime() < untilNanos) {
            val id = "order-${requestNumber.incrementAndGet()}"
            val bytes = if (random.nextInt(REQUESTS_PER_LONG_BODY) == 0) LONG_BODY_BYTES else SHORT_BODY_BYTES
            val path = "/orders/$id/${workMs(random)}"
            val end = connection.exchange(id, path, DEADLINE_MS, method = "POST", body = ByteArray(bytes))
            ends[end] = node
            if (end.status == 0 || end.closesConnection) {
                connection.close()
                connection = CallerConnectionToDaemon(node.callerPort, HOST)
            }
            Thread.sleep(if (end.isWorkers) load.pauseMs else PAUSE_AFTER_REFUSAL_MS)
        }
        connection.close()
    }

    private fun workMs(random: Random): Long {
        var drawn = random.nextInt(PERCENT)
        return workTimes.first { (share, _) -> (drawn < share).also { drawn -= share } }.second
    }

    private fun stopInSeries(load: OrderLoad, untilNanos: Long, stops: Stops) {
        val random = Random(SEED)
        val order = generateSequence { nodes.shuffled(random) }.flatten().iterator()
        val restarts = mutableListOf<Thread>()
        while (System.nanoTime() < untilNanos) {
            val node = order.next()
            if (node.daemon.isAlive) restarts += stop(node, stops)
            if (load.changes) reload(nodes[random.nextInt(NODES)])
            Thread.sleep(load.stopIntervalMs)
        }
        restarts.forEach { it.join() }
    }

    // A process that has just been started does not handle the signal yet (issue 24).
    private fun reload(node: PlatformNode) {
        if (fleet.isReady(node)) signal(node.daemon, "HUP")
    }

    // As the platform does it: SIGTERM, then SIGKILL after the grace period, then another start.
    private fun stop(node: PlatformNode, stops: Stops): Thread {
        val daemon = node.daemon
        val stop = stops.add(node)
        signal(daemon, "TERM")
        return thread(isDaemon = true) {
            if (!daemon.waitFor(GRACE_MS, TimeUnit.MILLISECONDS)) daemon.destroyForcibly().waitFor()
            stop.exitNanos = System.nanoTime()
            fleet.startDaemon(node)
        }
    }

    private fun changeConfiguration(untilNanos: Long) {
        while (System.nanoTime() < untilNanos) {
            fleet.write("config", "main", configuration(version.incrementAndGet()))
            Thread.sleep(CONFIGURATION_INTERVAL_MS)
        }
    }

    fun keepLogs() = fleet.keepLogs(File("target/stopped-fleet"))

    override fun close() {
        workers.forEach { it.close() }
        fleet.close()
    }

    private companion object {
        const val SEND_MS = 20_000L
        const val PERCENT = 100
    }
}
