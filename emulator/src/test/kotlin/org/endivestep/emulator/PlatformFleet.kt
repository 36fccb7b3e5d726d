package org.endivestep.emulator

import org.endivestep.fakes.TemplateFields
import org.endivestep.fakes.renderTemplate
import java.io.Closeable
import java.io.File
import java.net.URI
import java.net.http.HttpClient
import java.net.http.HttpRequest
import java.net.http.HttpResponse
import java.nio.file.Files
import java.time.Duration
import java.util.UUID

/** A VM of the emulated platform: its data centre, the service of its worker, and its loopback ports. */
internal class PlatformNode(val vm: String, val dataCentre: String, val service: String) {
    private val ports = freePorts(4)
    val callerPort = ports[0]
    val readinessPort = ports[1]
    val heartbeatPort = ports[2]
    val workerPort = ports[3]

    // First port for traffic between daemons, which receive datagrams on the next one as well.
    val innerPort = freePortPair()
    lateinit var daemon: Process
    lateinit var workerProcess: Process
}

/** How the daemons of a [PlatformFleet] reach one another and the store. */
internal class FleetNetwork(
    /** Host under which a daemon listens for other daemons, and which it announces to them. */
    val host: (PlatformNode) -> String = { "127.0.0.1" },
    /** Host under which all daemons reach the store; they take its address for their shared secret. */
    val storeHost: String = "127.0.0.1",
    val javaOptions: (PlatformNode) -> String? = { null },
    /** Limits that the platform states, by name. */
    val parameters: Map<String, String> = mapOf("retry_ratio" to "0.2", "retry_slack" to "60", "grace_s" to "6"),
)

/** Fleet of real processes on loopback: the emulated store of the platform, and on each of [nodes] a daemon with its worker. */
internal class PlatformFleet(
    val nodes: List<PlatformNode>,
    private val network: FleetNetwork = FleetNetwork(),
    private val storePort: Int = freePorts(1).first(),
) : Closeable {
    private val directory = Files.createTempDirectory("platform-fleet").toFile()
    private val processes = mutableListOf<Process>()
    private val client = HttpClient.newBuilder().version(HttpClient.Version.HTTP_1_1).build()

    fun start() {
        startStore()
        nodes.forEach(::startDaemon)
        nodes.forEach(::startWorker)
    }

    /** Starts the store and the daemons without their workers, and writes [configuration]; returns when all daemons are ready. */
    fun startDaemons(configuration: String) {
        startStore()
        nodes.forEach(::startDaemon)
        write("config", "main", configuration)
        awaitCondition("all daemons are ready") { nodes.all(::isReady) }
    }

    fun startStore() {
        processes +=
            startProcess("org.endivestep.emulator.MainKt", listOf("platform-store", "--port", "$storePort"), File(directory, "store.log"))
        awaitCondition("the store answers") { runCatching { get("http://127.0.0.1:$storePort/counts").statusCode() }.getOrNull() == 200 }
    }

    fun startDaemon(node: PlatformNode) {
        val settings = File(directory, "${node.vm}.ini")
        settings.writeText(settingsOf(node))
        val environment = mapOf("ENDIVESTEP_SETTINGS" to settings.path) + runtimeOptions(node)
        node.daemon =
            startProcess("org.endivestep.MainKt", listOf("platform-daemon"), File(directory, "${node.vm}.log"), environment)
        processes += node.daemon
    }

    // bin/class-list passes JVM options in which VM stands for the name of the node's VM.
    private fun runtimeOptions(node: PlatformNode): Map<String, String> {
        val options = listOfNotNull(System.getProperty("daemon.options")?.replace("VM", node.vm), network.javaOptions(node))
        return if (options.isEmpty()) emptyMap() else mapOf("JAVA_TOOL_OPTIONS" to options.joinToString(" "))
    }

    fun startWorker(node: PlatformNode) {
        val arguments = listOf("--port", "${node.workerPort}", "--daemon", "127.0.0.1:${node.heartbeatPort}", "--service", node.service)
        val log = File(directory, "${node.vm}-worker.log")
        node.workerProcess = startProcess("org.endivestep.emulator.MainKt", listOf("platform-worker") + arguments, log)
        processes += node.workerProcess
    }

    /** Creates or replaces an object in the store, as an operator would. */
    fun write(kind: String, name: String, spec: String) {
        val body = """{"meta":{"name":"$name"},"spec":$spec,"status":null}"""
        val created = call("POST", "http://127.0.0.1:$storePort/-/objects/$kind", body)
        val written =
            if (created.statusCode() == CONFLICT) call("PUT", "http://127.0.0.1:$storePort/-/objects/$kind/$name", body) else created
        check(written.statusCode() == 200) { "the store answered ${written.statusCode()} to the write of $kind/$name" }
    }

    fun delete(kind: String, name: String) {
        call("DELETE", "http://127.0.0.1:$storePort/-/objects/$kind/$name", "")
    }

    fun storeFaults(query: String) {
        call("POST", "http://127.0.0.1:$storePort/faults?$query", "")
    }

    /** Restores the store from a copy that is [seconds] old. */
    fun restoreStore(seconds: Double) {
        call("POST", "http://127.0.0.1:$storePort/emulator/restore?seconds=$seconds", "")
    }

    fun storeCalls(): Long = get("http://127.0.0.1:$storePort/counts").body().trim().substringAfter("calls=").toLong()

    fun isReady(node: PlatformNode): Boolean =
        runCatching { get("http://127.0.0.1:${node.readinessPort}/-/ready").statusCode() }.getOrNull() == 200

    fun runs(node: PlatformNode): List<String> =
        get("http://127.0.0.1:${node.workerPort}/emulator/runs").body().lines().filter { it.isNotEmpty() }

    fun setWorkerBehaviour(node: PlatformNode, query: String) {
        call("POST", "http://127.0.0.1:${node.workerPort}/emulator/behaviour?$query", "")
    }

    /**
     * Sends a request with the further [headers] as a caller on the VM [through]; [host] is the Host header, by which a listener is
     * selected.
     */
    fun send(
        through: PlatformNode,
        host: String,
        path: String,
        method: String = "GET",
        body: String = "",
        headers: Map<String, String> = emptyMap(),
    ): HttpResponse<String> =
        client.send(
            HttpRequest
                .newBuilder(URI("http://127.0.0.1:${through.callerPort}$path"))
                .timeout(Duration.ofSeconds(20))
                .header("Host", host)
                .header("X-Request-Id", UUID.randomUUID().toString())
                .header("X-Deadline-Ms", "5000")
                .method(method, HttpRequest.BodyPublishers.ofString(body))
                .apply { headers.forEach { header(it.key, it.value) } }
                .build(),
            HttpResponse.BodyHandlers.ofString(),
        )

    fun log(node: PlatformNode): String = File(directory, "${node.vm}.log").readText()

    /** Copies the logs and settings of all processes so far to [target]. */
    fun keepLogs(target: File) {
        directory.copyRecursively(target, overwrite = true)
    }

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

    private fun settingsOf(node: PlatformNode): String {
        val texts =
            mapOf(
                "node_name" to node.vm,
                "zone" to node.dataCentre,
                "ip" to network.host(node),
                "port_range" to "${node.innerPort},${node.innerPort + 1}",
                "bind.outbound" to "127.0.0.1:${node.callerPort}",
                "bind.ready" to "127.0.0.1:${node.readinessPort}",
                "bind.control" to "127.0.0.1:${node.heartbeatPort}",
                "service" to node.service,
                "app_addr" to "127.0.0.1:${node.workerPort}",
                "heartbeat_s" to "1.5",
                "platform.address" to "${network.storeHost}:$storePort",
            )
        val zones = nodes.map { it.dataCentre }.distinct().associateWith { "nl-west" }
        val template = File("../platform/settings.ini").readText().replace(METRICS_PORT, "metrics-port = 0")
        return renderTemplate(template, TemplateFields(texts, mapOf("zones" to zones, "parameters" to network.parameters)))
    }

    private companion object {
        const val CONFLICT = 409

        // The daemons of a fleet share one host, so only one of them could have the port.
        val METRICS_PORT = Regex("metrics-port = .*")
    }
}
