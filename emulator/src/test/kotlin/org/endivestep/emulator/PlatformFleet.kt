package org.endivestep.emulator

import java.io.Closeable
import java.io.File
import java.net.URI
import java.net.http.HttpClient
import java.net.http.HttpRequest
import java.net.http.HttpResponse
import java.nio.file.Files
import java.time.Duration
import java.util.UUID

/** A VM of the users' platform: its data centre, the service of its worker, and its ports. */
internal class PlatformPlace(val vm: String, val centre: String, val service: String) {
    private val ports = freePorts(5)
    val callers = ports[0]
    val ready = ports[1]
    val heartbeats = ports[2]
    val worker = ports[3]

    // The one after it must be free as well, as far as the tests need it.
    val inner = ports[4]
    lateinit var daemon: Process
    lateinit var workerProcess: Process
}

/** Real processes on loopback: the emulated store of the users' platform, and a daemon with its worker at each place. */
internal class PlatformFleet(val places: List<PlatformPlace>) : Closeable {
    private val directory = Files.createTempDirectory("platform-fleet").toFile()
    private val processes = mutableListOf<Process>()
    private val storePort = freePorts(1).first()
    private val client = HttpClient.newBuilder().version(HttpClient.Version.HTTP_1_1).build()

    fun start() {
        processes +=
            startProcess("org.endivestep.emulator.MainKt", listOf("platform-store", "--port", "$storePort"), File(directory, "store.log"))
        awaitTrue("the store answers") { runCatching { get("http://127.0.0.1:$storePort/counts").statusCode() }.getOrNull() == 200 }
        places.forEach(::startDaemon)
        places.forEach(::startWorker)
    }

    fun startDaemon(place: PlatformPlace) {
        val settings = File(directory, "${place.vm}.ini")
        settings.writeText(settingsOf(place))
        val environment = mapOf("ENDIVESTEP_SETTINGS" to settings.path) + runtimeOptions(place)
        place.daemon =
            startProcess("org.endivestep.MainKt", listOf("platform-daemon"), File(directory, "${place.vm}.log"), environment)
        processes += place.daemon
    }

    // bin/class-list passes options for the runtime, with VM in place of the name.
    private fun runtimeOptions(place: PlatformPlace): Map<String, String> {
        val options = System.getProperty("daemon.options") ?: return emptyMap()
        return mapOf("JAVA_TOOL_OPTIONS" to options.replace("VM", place.vm))
    }

    fun startWorker(place: PlatformPlace) {
        val arguments = listOf("--port", "${place.worker}", "--daemon", "127.0.0.1:${place.heartbeats}", "--service", place.service)
        val log = File(directory, "${place.vm}-worker.log")
        place.workerProcess = startProcess("org.endivestep.emulator.MainKt", listOf("platform-worker") + arguments, log)
        processes += place.workerProcess
    }

    /** Creates or replaces an object of the store, as the operator does. */
    fun write(kind: String, name: String, spec: String) {
        val body = """{"meta":{"name":"$name"},"spec":$spec,"status":null}"""
        val created = call("POST", "http://127.0.0.1:$storePort/-/objects/$kind", body)
        if (created.statusCode() == CONFLICT) call("PUT", "http://127.0.0.1:$storePort/-/objects/$kind/$name", body)
    }

    fun delete(kind: String, name: String) {
        call("DELETE", "http://127.0.0.1:$storePort/-/objects/$kind/$name", "")
    }

    fun storeFaults(query: String) {
        call("POST", "http://127.0.0.1:$storePort/faults?$query", "")
    }

    fun storeCalls(): Long = get("http://127.0.0.1:$storePort/counts").body().trim().substringAfter("calls=").toLong()

    fun isReady(place: PlatformPlace): Boolean =
        runCatching { get("http://127.0.0.1:${place.ready}/-/ready").statusCode() }.getOrNull() == 200

    fun runs(place: PlatformPlace): List<String> =
        get("http://127.0.0.1:${place.worker}/emulator/runs").body().lines().filter { it.isNotEmpty() }

    fun behave(place: PlatformPlace, query: String) {
        call("POST", "http://127.0.0.1:${place.worker}/emulator/behaviour?$query", "")
    }

    /** Sends a request as a caller on the VM of [through]; the host is part of the address of the route. */
    fun send(through: PlatformPlace, host: String, path: String, method: String = "GET", body: String = "") =
        client.send(
            HttpRequest
                .newBuilder(URI("http://127.0.0.1:${through.callers}$path"))
                .timeout(Duration.ofSeconds(20))
                .header("Host", host)
                .header("X-Request-Id", UUID.randomUUID().toString())
                .header("X-Deadline-Ms", "5000")
                .method(method, HttpRequest.BodyPublishers.ofString(body))
                .build(),
            HttpResponse.BodyHandlers.ofString(),
        )

    fun log(place: PlatformPlace): String = File(directory, "${place.vm}.log").readText()

    override fun close() {
        processes.forEach { it.destroyForcibly() }
        processes.forEach { it.waitFor() }
        directory.deleteRecursively()
    }

    private fun get(url: String): HttpResponse<String> = call("GET", url, "")

    private fun call(method: String, url: String, body: String): HttpResponse<String> =
        client.send(
            HttpRequest
                .newBuilder(URI(url))
                .timeout(Duration.ofSeconds(20))
                .method(method, HttpRequest.BodyPublishers.ofString(body))
                .build(),
            HttpResponse.BodyHandlers.ofString(),
        )

    private fun settingsOf(place: PlatformPlace): String =
        """
        [daemon]
        vm = ${place.vm}
        data-centre = ${place.centre}
        host = 127.0.0.1
        ports = ${place.inner},${place.inner + 1}
        caller-address = 127.0.0.1:${place.callers}
        readiness-address = 127.0.0.1:${place.ready}
        heartbeat-address = 127.0.0.1:${place.heartbeats}
        [worker]
        service = ${place.service}
        address = 127.0.0.1:${place.worker}
        [data-centres]
        ${places.map { it.centre }.distinct().joinToString("\n        ") { "$it = nl-west" }}
        [store]
        address = 127.0.0.1:$storePort
        [bounds]
        retry_ratio=0.2
        retry_slack=60
        grace_s=6
        """.trimIndent()

    private companion object {
        const val CONFLICT = 409
    }
}
