package org.endivestep.emulator

import kotlinx.cli.ArgType
import kotlinx.cli.ExperimentalCli
import kotlinx.cli.Subcommand
import kotlinx.cli.default
import kotlinx.cli.required
import java.net.URI
import java.net.http.HttpClient
import java.net.http.HttpRequest
import java.net.http.HttpResponse
import java.util.UUID
import java.util.concurrent.Executors
import java.util.concurrent.TimeUnit
import java.util.concurrent.atomic.AtomicInteger

/** Sends requests to daemons of the platform in a closed loop, and prints the processor time that a request takes there. */
@OptIn(ExperimentalCli::class)
internal class PlatformLoadCommand : Subcommand("platform-load", "Measure the processor time of requests through daemons of the platform") {
    private val targets by option(ArgType.String, description = "Caller addresses of daemons, comma separated host:port").required()
    private val processes by option(ArgType.String, description = "Ids of the daemons' processes, comma separated").required()
    private val host by option(ArgType.String, description = "Host header, which selects the route").required()
    private val path by option(ArgType.String, description = "Path of the requests").default("/")
    private val requests by option(ArgType.Int, description = "Requests in a step").default(200)
    private val steps by option(ArgType.Int, description = "Steps, one after the other").default(8)
    private val callers by option(ArgType.Int, description = "Callers that send at the same time").default(4)
    private val threads by option(ArgType.Boolean, description = "Print the processor time by thread as well").default(false)

    private val client = HttpClient.newBuilder().version(HttpClient.Version.HTTP_1_1).build()

    override fun execute() {
        val daemons = processes.split(',').map { it.toLong() }
        val uris = targets.split(',').map { URI("http://$it$path") }
        val first = ProcessorTimes.read(daemons)
        println("from the start to the first request: ${first.totalMs} ms of processor time over ${daemons.size} daemons")
        var before = first
        repeat(steps) { step ->
            val failed = sendAll(uris)
            val after = ProcessorTimes.read(daemons)
            val perRequest = (after.totalMs - before.totalMs).toDouble() / requests
            println("step ${step + 1}: $requests requests, $failed not answered with 200, %.2f ms a request".format(perRequest))
            before = after
        }
        if (threads) before.since(first).filter { it.second > 0 }.forEach { (name, ms) -> println("  $name: $ms ms") }
    }

    /** Returns the number of requests that were not answered with 200. */
    private fun sendAll(uris: List<URI>): Int {
        val next = AtomicInteger()
        val failed = AtomicInteger()
        val pool = Executors.newFixedThreadPool(callers)
        repeat(callers) {
            pool.execute {
                while (true) {
                    val number = next.getAndIncrement()
                    if (number >= requests) break
                    if (send(uris[number % uris.size]) != OK) failed.incrementAndGet()
                }
            }
        }
        pool.shutdown()
        pool.awaitTermination(STEP_MINUTES, TimeUnit.MINUTES)
        return failed.get()
    }

    private fun send(uri: URI): Int {
        val request =
            HttpRequest
                .newBuilder(uri)
                .header("Host", host)
                .header("X-Request-Id", UUID.randomUUID().toString())
                .header("X-Deadline-Ms", "5000")
                .build()
        return client.send(request, HttpResponse.BodyHandlers.discarding()).statusCode()
    }

    private companion object {
        const val OK = 200
        const val STEP_MINUTES = 5L
    }
}
