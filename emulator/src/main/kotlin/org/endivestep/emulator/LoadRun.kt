package org.endivestep.emulator

import org.HdrHistogram.ConcurrentHistogram
import org.eclipse.jetty.client.BytesRequestContent
import org.eclipse.jetty.client.HttpClient
import org.eclipse.jetty.client.Result
import org.eclipse.jetty.util.thread.QueuedThreadPool
import java.util.SplittableRandom
import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.CountDownLatch
import java.util.concurrent.TimeUnit
import java.util.concurrent.atomic.AtomicLong
import java.util.concurrent.locks.LockSupport
import kotlin.math.ln

/** One kind of request in a mix; [weight] is both its share of the requests and its weight in the printed `service=` ratio. */
internal data class MixEntry(val service: String, val method: String, val path: String, val weight: Int, val deadlineMs: Long)

internal fun parseMixEntry(text: String): MixEntry {
    val parts = text.split(':')
    require(parts.size == MIX_PARTS) { "mix entry must be service:method:path:weight:deadline-ms, not \"$text\"" }
    return MixEntry(parts[0], parts[1], parts[2], parts[3].toInt(), parts[4].toLong())
}

private const val MIX_PARTS = 5

/** Parameters of a load. [rate] is in requests per second. */
internal data class LoadPlan(
    val mix: List<MixEntry>,
    val rate: Double,
    val seconds: Int,
    /** Warm-up at the start, part of [seconds], whose requests are sent but not measured. */
    val discardSeconds: Int,
    val seed: Long,
    val timeMs: Double?,
    val keys: Boolean,
    val selectTarget: TargetSelector,
    /** Addresses of the workers whose runs are compared with the outcomes reported to callers; may be empty. */
    val workers: List<String>,
    val label: String,
)

/**
 * Open-loop load: requests are sent at predetermined times (exponentially distributed intervals), independently of the
 * answers. Latency is measured from the scheduled time, so that stalls are included (no coordinated omission).
 */
internal class LoadRun(private val plan: LoadPlan) {
    private val random = SplittableRandom(plan.seed)
    private val latencies = ConcurrentHistogram(MAX_LATENCY_US, SIGNIFICANT_DIGITS)
    private val outcomes = ConcurrentHashMap<String, AtomicLong>()
    private val measuredRequests = AtomicLong()
    private val inTime = AtomicLong()
    private val weightInTime = AtomicLong()
    private val weightSent = AtomicLong()
    private val cut = AtomicLong()
    private val check = RunCheck(plan.workers)

    fun run(): LoadReport {
        val client = HttpClient()
        client.executor = QueuedThreadPool(CLIENT_THREADS)
        client.maxConnectionsPerDestination = MAX_CONNECTIONS
        client.maxRequestsQueuedPerDestination = MAX_QUEUED_REQUESTS
        client.start()
        val total = (plan.rate * plan.seconds).toInt()
        val done = CountDownLatch(total)
        val measureFromNanos = System.nanoTime() + plan.discardSeconds * NANOS_PER_SECOND.toLong()
        var atNanos = System.nanoTime()
        repeat(total) { number ->
            atNanos += (-ln(1.0 - random.nextDouble()) / plan.rate * NANOS_PER_SECOND).toLong()
            while (true) {
                val waitNanos = atNanos - System.nanoTime()
                if (waitNanos <= 0) break
                LockSupport.parkNanos(waitNanos)
            }
            send(client, number, atNanos, measured = atNanos >= measureFromNanos, done)
        }
        done.await(DRAIN_TIMEOUT_SECONDS, TimeUnit.SECONDS)
        client.stop()
        return LoadReport(
            sent = measuredRequests.get(),
            latencies = latencies,
            outcomes = outcomes.mapValues { it.value.get() },
            inTime = inTime.get(),
            weightInTime = weightInTime.get(),
            weightSent = weightSent.get(),
            cut = cut.get(),
            findings = check.compare(),
        )
    }

    private fun send(client: HttpClient, number: Int, atNanos: Long, measured: Boolean, done: CountDownLatch) {
        val entry = selectEntry()
        if (measured) {
            measuredRequests.incrementAndGet()
            weightSent.addAndGet(entry.weight.toLong())
        }
        val target = plan.selectTarget(random)
        val request = client.newRequest("http://$target${entry.path}").method(entry.method)
        val name = "${plan.label}-${plan.seed}-$number"
        if (entry.method == "POST") check.recordNonIdempotent(name)
        request.headers {
            it.put("Endivestep-Service", entry.service)
            it.put(NAME_HEADER, name)
            plan.timeMs?.let { time -> it.put(TIME_HEADER, time.toString()) }
            if (plan.keys && entry.method == "POST") it.put("Idempotency-Key", name)
        }
        if (entry.method == "POST") request.body(BytesRequestContent("text/plain", "load $name".toByteArray()))
        request.send { result ->
            val elapsedUs = (System.nanoTime() - atNanos) / NANOS_PER_US
            if (result.response?.headers?.get("Endivestep-Outcome") == "not-run") check.recordNotRun(name)
            if (measured) record(entry, result, elapsedUs)
            done.countDown()
        }
    }

    private fun record(entry: MixEntry, result: Result, elapsedUs: Long) {
        val status = result.response?.status ?: 0
        val reason = result.response?.headers?.get("Endivestep-Reason")
        val outcome = if (result.isFailed) "failed" else listOfNotNull(status.toString(), reason).joinToString(" ")
        outcomes.computeIfAbsent(outcome) { AtomicLong() }.incrementAndGet()
        if (result.isFailed && status == OK) cut.incrementAndGet()
        if (!result.isFailed && status == OK) recordAnswer(entry, elapsedUs)
    }

    private fun recordAnswer(entry: MixEntry, elapsedUs: Long) {
        latencies.recordValue(elapsedUs.coerceIn(1, MAX_LATENCY_US))
        if (elapsedUs > entry.deadlineMs * US_PER_MS) return
        inTime.incrementAndGet()
        weightInTime.addAndGet(entry.weight.toLong())
    }

    private fun selectEntry(): MixEntry {
        var remaining = random.nextInt(plan.mix.sumOf { it.weight })
        return plan.mix.first { entry ->
            remaining -= entry.weight
            remaining < 0
        }
    }

    private companion object {
        const val MAX_LATENCY_US = 60_000_000L
        const val SIGNIFICANT_DIGITS = 3
        const val CLIENT_THREADS = 16
        const val MAX_CONNECTIONS = 512
        const val MAX_QUEUED_REQUESTS = 100_000
        const val DRAIN_TIMEOUT_SECONDS = 30L
        const val NANOS_PER_SECOND = 1e9
        const val NANOS_PER_US = 1_000L
        const val US_PER_MS = 1_000L
        const val OK = 200
    }
}

/** Result of a load; latencies are those of answered requests, in microseconds. */
internal class LoadReport(
    private val sent: Long,
    private val latencies: ConcurrentHistogram,
    private val outcomes: Map<String, Long>,
    private val inTime: Long,
    private val weightInTime: Long,
    private val weightSent: Long,
    private val cut: Long,
    private val findings: RunFindings?,
) {
    fun render(label: String): String {
        val percentiles =
            listOf(50.0, 90.0, 99.0, 99.9).joinToString(" ") {
                "p$it=%.2fms".format(latencies.getValueAtPercentile(it) / US_PER_MS)
            }
        val share = if (weightSent == 0L) 0.0 else weightInTime.toDouble() / weightSent
        val checked = findings?.let { " doubled=${it.ranTwice} falseRefusals=${it.falseRefusals}" }.orEmpty()
        return "$label sent=$sent inTime=$inTime service=%.4f $percentiles cut=$cut$checked outcomes=${outcomes.toSortedMap()}".format(
            share,
        )
    }

    private companion object {
        const val US_PER_MS = 1_000.0
    }
}
