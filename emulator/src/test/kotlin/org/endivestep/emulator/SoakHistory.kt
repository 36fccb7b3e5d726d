package org.endivestep.emulator

import java.util.concurrent.ConcurrentLinkedQueue
import java.util.concurrent.CopyOnWriteArrayList
import java.util.concurrent.TimeUnit

/** A time during which [nodes], and the store if [affectsStore], were disturbed; planned work is a SIGTERM with the restart. */
internal class Disturbance(val nodes: List<PlatformNode>, val affectsStore: Boolean, val isPlanned: Boolean, val startNanos: Long) {
    @Volatile
    var endNanos = Long.MAX_VALUE

    /** Whether this one was present at some time from [fromNanos] to [toNanos]. */
    fun overlaps(fromNanos: Long, toNanos: Long) = startNanos <= toNanos && endNanos >= fromNanos
}

/** A configuration that the operator wrote; its number is its index. */
internal class WrittenConfiguration(val startNanos: Long, val acknowledgedNanos: Long)

/** What the driver of a run did, and what its callers saw; times are on the clock of [System.nanoTime]. Thread-safe. */
internal class SoakHistory {
    private val recordedRequests = ConcurrentLinkedQueue<SoakRequest>()
    private val recordedFindings = ConcurrentLinkedQueue<String>()
    private val recordedDisturbances = CopyOnWriteArrayList<Disturbance>()
    private val writtenConfigurations = CopyOnWriteArrayList<WrittenConfiguration>()
    private val recordedStalls = ConcurrentLinkedQueue<LongRange>()
    private val stopsNanos = CopyOnWriteArrayList<Long>()
    private val starts = CopyOnWriteArrayList<Pair<PlatformNode, Long>>()

    val requests: Collection<SoakRequest> get() = recordedRequests
    val findings: Collection<String> get() = recordedFindings
    val disturbances: List<Disturbance> get() = recordedDisturbances
    val configurations: List<WrittenConfiguration> get() = writtenConfigurations
    val configurationCount: Int get() = writtenConfigurations.size

    fun record(request: SoakRequest) {
        recordedRequests += request
    }

    fun recordFinding(finding: String) {
        recordedFindings += finding
    }

    fun recordStart(node: PlatformNode) {
        starts += node to System.nanoTime()
    }

    fun recordStop() {
        stopsNanos += System.nanoTime()
    }

    /** Runs [action] and records it as a disturbance. */
    fun disturb(nodes: List<PlatformNode>, affectsStore: Boolean = false, isPlanned: Boolean = false, action: () -> Unit) {
        val disturbance = Disturbance(nodes, affectsStore, isPlanned, System.nanoTime())
        recordedDisturbances += disturbance
        try {
            action()
        } finally {
            disturbance.endNanos = System.nanoTime()
        }
    }

    /** Writes the next configuration with [write], which returns once the store has acknowledged it. */
    fun configure(write: (Int) -> Unit) {
        val startNanos = System.nanoTime()
        val number = configurationCount
        // Callers may see the configuration in force before the store's answer, so it counts as written from the start.
        writtenConfigurations += WrittenConfiguration(startNanos, Long.MAX_VALUE)
        write(number)
        writtenConfigurations[number] = WrittenConfiguration(startNanos, System.nanoTime())
    }

    /** Returns the time in ms since the last start of the daemon of [node]. */
    fun sinceStartMs(node: PlatformNode): Long =
        TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - starts.filter { it.first == node }.maxOf { it.second })

    /** Returns the number of the run of the daemon of [node] at [atNanos]. */
    fun daemonRun(node: PlatformNode, atNanos: Long): Int = starts.count { it.first == node && it.second <= atNanos }

    /** Whether a daemon got SIGTERM at most [withinNanos] before [atNanos]. */
    fun isStopping(atNanos: Long, withinNanos: Long): Boolean = stopsNanos.any { atNanos - it in 0..withinNanos }

    /** Measures how late this process wakes up, until [isOver]; what its callers see is as late as that at least. */
    fun measureStalls(isOver: () -> Boolean) {
        var beforeNanos = System.nanoTime()
        while (!isOver()) {
            Thread.sleep(WAKE_UP_MS)
            val nowNanos = System.nanoTime()
            if (nowNanos - beforeNanos > STALL_NANOS) recordedStalls += beforeNanos..nowNanos
            beforeNanos = nowNanos
        }
    }

    /** Returns for how long, in ns, this process did not run from [fromNanos] to [toNanos]. */
    fun stalledNanos(fromNanos: Long, toNanos: Long): Long =
        recordedStalls.filter { it.first <= toNanos && it.last >= fromNanos }.sumOf { it.last - it.first }

    private companion object {
        const val WAKE_UP_MS = 10L
        val STALL_NANOS = TimeUnit.MILLISECONDS.toNanos(50)
    }
}
