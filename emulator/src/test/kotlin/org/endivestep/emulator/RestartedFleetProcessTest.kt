package org.endivestep.emulator

import io.kotest.assertions.withClue
import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.ints.shouldBeGreaterThanOrEqual
import io.kotest.matchers.ints.shouldBeLessThanOrEqual
import java.io.Closeable
import java.util.Random
import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.ConcurrentLinkedQueue
import java.util.concurrent.TimeUnit
import java.util.concurrent.atomic.AtomicInteger
import kotlin.concurrent.thread

private const val HOST = "shop.example"
private const val SEED = 54L
private const val NODES = 59
private const val SLOTS = 16
private const val WORK_MS = 150L
private const val DEADLINE_MS = 745L

/** Part of the callers state a longer deadline than they wait. */
private const val LONG_DEADLINE_MS = 2_000L
private const val SHORT_PATIENCE_MS = 300L

/** Time between two requests on connections of their own. */
private const val REQUEST_INTERVAL_MS = 3L

/** One of this many requests is an order, whose worker makes a call itself. */
private const val REQUESTS_PER_ORDER = 5

/** Time between two requests on a kept connection. */
private const val KEPT_INTERVAL_MS = 400L
private const val FIRST_KILL_MS = 2_000L

/** A request may still reach its worker that long after its caller has left. */
private const val LATE_AFTER_MS = 500L

/** Requests that may reach a worker later than that in all cases together, and kept connections that may be cut off. */
private const val MAX_LATE = 3
private const val MAX_CUT_OFF = 3

private val configuration =
    """
    {"version":"r3","limits":{"max_header_bytes":16384,"max_body_bytes":1048576,"header_timeout_s":3,"idle_timeout_s":15},
    "listeners":[{"host":"$HOST","rules":[
    {"name":"reads","kind":"idempotent","slo_s":0.5,"priority":2,"match":{"path_prefix":"/reads/"},
    "action":{"service":"stock","timeout_s":2,"attempts":2}},
    {"name":"orders","kind":"idempotent","slo_s":0.5,"priority":2,"match":{"path_prefix":"/orders/"},
    "action":{"service":"shop","timeout_s":2,"attempts":2}}]}],
    "clusters":[{"name":"stock","health_path":"/health","cold_start_s":3.0,"cold_per_s":1000.0},
    {"name":"shop","health_path":"/health","cold_start_s":3.0,"cold_per_s":1000.0}]}
    """.trimIndent().replace("\n", "")

/** Time in ms from the first kill of a case, and the daemons that are killed then and started again. */
private class Kill(val atMs: Long, val daemons: (List<PlatformNode>, Random) -> List<PlatformNode>)

private val all: (List<PlatformNode>, Random) -> List<PlatformNode> = { nodes, _ -> nodes }

private fun anyOf(part: Int): (List<PlatformNode>, Random) -> List<PlatformNode> =
    { nodes, random -> nodes.shuffled(random).take(nodes.size / part) }

class RestartedFleetProcessTest :
    FunSpec({
        // Guards against work that daemons start for callers that left long before, while many of them start again at a time (issue 54).
        test("daemons that start again together send hardly any request to a worker long after its caller has left") {
            class Case(val name: String, val sendMs: Long, val minAnswered: Int, val kills: List<Kill>)
            RestartedFleet().use { fleet ->
                val late = mutableListOf<RunDelay>()
                val cutOff = mutableListOf<String>()
                listOf(
                    Case("all at once", 20_000, minAnswered = 100, listOf(Kill(0, all))),
                    Case("a quarter at a time", 10_000, 1_000, listOf(0L, 3_000L, 6_000L).map { Kill(it, anyOf(part = 4)) }),
                    Case(
                        "one after the other",
                        10_000,
                        1_000,
                        (0 until NODES).map { n ->
                            Kill(n * 150L) { nodes, _ -> listOf(nodes[n]) }
                        },
                    ),
                    Case("some while others start", 20_000, 100, listOf(Kill(0, all), Kill(2_500, anyOf(2)), Kill(6_000, anyOf(3)))),
                ).forEach { case ->
                    val ended = fleet.sendWhileKilling(case.sendMs, case.kills)
                    println("restarted fleet, ${case.name}: ${ended.figures}")
                    withClue("${case.name}: ${ended.figures}") { ended.answered shouldBeGreaterThanOrEqual case.minAnswered }
                    late += ended.late
                    cutOff += ended.cutOff
                    fleet.awaitReady()
                }
                withClue("late $late, cut off $cutOff") {
                    late.size shouldBeLessThanOrEqual MAX_LATE
                    cutOff.size shouldBeLessThanOrEqual MAX_CUT_OFF
                }
            }
        }
    })

/** What was seen of the requests of one case. */
private class EndedCase(ends: Collection<CallerEnd>, runs: Collection<WorkerRun>, cutOffBySoundDaemons: Set<String>) {
    private val delays = runDelays(runs, ends)
    private val runIds = delays.map { it.id }.toSet()
    val answered = ends.count { it.status == 200 }
    val late = delays.filter { it.delayMs > LATE_AFTER_MS }.sortedBy { it.delayMs }

    /** Requests on kept connections that a worker ran and whose daemon lived on and closed the connection without an answer. */
    val cutOff = cutOffBySoundDaemons.filter { it in runIds }
    val figures =
        "$answered of ${ends.size} answered, ${delays.count { it.delayMs > 0 }} begun after the close, late $late, cut off $cutOff"
}

/** [NODES] daemons, half of them beside a worker that calls the others; each has a kept connection of a caller. */
private class RestartedFleet : Closeable {
    private val nodes =
        (0 until NODES).map { PlatformNode("vm-$it", "zone-${it % DATA_CENTRES}", if (it % 2 == 0) "stock" else "shop") }
    private val fleet = PlatformFleet(nodes)
    private val workers: List<RecordingWorker>
    private val callEnds = ConcurrentLinkedQueue<CallerEnd>()
    private val requestNumber = AtomicInteger()
    private val killedNanos = ConcurrentHashMap<PlatformNode, Long>()

    init {
        runCatching { fleet.startDaemons(configuration) }.onFailure { fleet.close() }.getOrThrow()
        workers =
            nodes.map { node ->
                RecordingWorker(node, SLOTS, WORK_MS) {
                    if (node.service ==
                        "shop"
                    ) {
                        callStock(node, it)
                    } else {
                        Thread.sleep(WORK_MS)
                    }
                }
            }
        awaitReady()
    }

    // The worker of an order calls another service through its own daemon, for as long as its own caller waits.
    private fun callStock(node: PlatformNode, order: RawHttpMessage) {
        val remainingMs = order.header("X-Deadline-Ms")?.toLongOrNull() ?: DEADLINE_MS
        val id = newId("call")
        callEnds += CallerConnectionToDaemon(node.callerPort, HOST).use { it.exchange(id, "/reads/$id", remainingMs) }
    }

    private fun newId(kind: String) = "$kind-${requestNumber.incrementAndGet()}"

    fun awaitReady() =
        awaitCondition("all daemons answer") {
            nodes.all { runCatching { fleet.send(it, HOST, "/reads/1").statusCode() }.getOrNull() == 200 }
        }

    fun sendWhileKilling(sendMs: Long, kills: List<Kill>): EndedCase {
        callEnds.clear()
        val random = Random(SEED)
        val untilNanos = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(sendMs)
        val killer = thread(isDaemon = true) { kill(kills, random) }
        val cutOff = ConcurrentHashMap.newKeySet<String>()
        val keptEnds = ConcurrentLinkedQueue<CallerEnd>()
        val kept = nodes.map { node -> thread(isDaemon = true) { sendOnKeptConnections(node, untilNanos, keptEnds, cutOff) } }
        val callers = sendOnFreshConnections(Random(SEED + kills.size), untilNanos)
        val ends = callers.map { it.await() }
        kept.forEach { it.join() }
        killer.join()
        // What still is on its way arrives.
        Thread.sleep(DEADLINE_MS * 2)
        return EndedCase(ends + keptEnds + callEnds, workers.flatMap { it.runs }, cutOff)
    }

    private fun sendOnFreshConnections(random: Random, untilNanos: Long): List<DeadlineCaller> {
        val callers = mutableListOf<DeadlineCaller>()
        while (System.nanoTime() < untilNanos) {
            val kind = if (random.nextInt(REQUESTS_PER_ORDER) == 0) "orders" else "reads"
            val id = newId(kind)
            val port = nodes[random.nextInt(nodes.size)].callerPort
            val isImpatient = random.nextBoolean()
            val deadlineMs = if (isImpatient) LONG_DEADLINE_MS else DEADLINE_MS
            val patienceMs = if (isImpatient) SHORT_PATIENCE_MS else DEADLINE_MS
            callers += DeadlineCaller(id, "/$kind/$id", port, HOST, deadlineMs, patienceMs).also { it.start() }
            Thread.sleep(REQUEST_INTERVAL_MS)
        }
        return callers
    }

    private fun sendOnKeptConnections(
        node: PlatformNode,
        untilNanos: Long,
        ends: MutableCollection<CallerEnd>,
        cutOff: MutableSet<String>,
    ) {
        var connection = CallerConnectionToDaemon(node.callerPort, HOST)
        var isKept = false
        while (System.nanoTime() < untilNanos) {
            val id = newId("kept")
            val end = connection.exchange(id, "/reads/$id", DEADLINE_MS)
            ends += end
            // A connection that its daemon's end has cut off is not lost.
            val killedDuring = (killedNanos[node] ?: 0) >= end.sentNanos || !node.daemon.isAlive
            if (end.wasCutOff && isKept && !killedDuring) cutOff += id
            isKept = end.status != 0
            if (!isKept) {
                connection.close()
                connection = CallerConnectionToDaemon(node.callerPort, HOST)
            }
            Thread.sleep(KEPT_INTERVAL_MS)
        }
        connection.close()
    }

    private fun kill(kills: List<Kill>, random: Random) {
        val startNanos = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(FIRST_KILL_MS)
        kills.forEach { kill ->
            val waitNanos = startNanos + TimeUnit.MILLISECONDS.toNanos(kill.atMs) - System.nanoTime()
            if (waitNanos > 0) TimeUnit.NANOSECONDS.sleep(waitNanos)
            val daemons = kill.daemons(nodes, random)
            daemons.forEach {
                killedNanos[it] = System.nanoTime()
                it.daemon.destroyForcibly()
            }
            daemons.forEach {
                it.daemon.waitFor()
                killedNanos[it] = System.nanoTime()
                fleet.startDaemon(it)
            }
        }
    }

    override fun close() {
        workers.forEach { it.close() }
        fleet.close()
    }

    private companion object {
        const val DATA_CENTRES = 3
    }
}
