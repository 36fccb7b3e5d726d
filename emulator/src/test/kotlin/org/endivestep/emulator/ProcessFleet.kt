package org.endivestep.emulator

import java.io.Closeable
import java.io.File
import java.io.IOException
import java.net.ServerSocket
import java.net.URI
import java.net.http.HttpClient
import java.net.http.HttpRequest
import java.net.http.HttpResponse
import java.nio.file.Files
import java.time.Duration
import java.util.Base64
import java.util.concurrent.CompletableFuture
import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.TimeUnit

private const val START_TIMEOUT_SECONDS = 60L

internal const val OPERATOR = "anna"
internal const val PASSWORD = "duinzand"

private val passwordHash: String by lazy { CommandRun.endivestep(listOf("hash-password"), input = "$PASSWORD\n").output.trim() }

/** Exit code and output of a command that has ended. */
internal class CommandRun(val code: Int, val output: String, val errors: String) {
    companion object {
        fun endivestep(arguments: List<String>, input: String = ""): CommandRun {
            val builder = ProcessBuilder(javaCommand("org.endivestep.MainKt") + arguments)
            builder.environment()["ENDIVESTEP_USER"] = OPERATOR
            builder.environment()["ENDIVESTEP_PASSWORD"] = PASSWORD
            val process = builder.start()
            process.outputStream.use { it.write(input.toByteArray()) }
            val output = CompletableFuture.supplyAsync { process.inputStream.readAllBytes().decodeToString() }
            val errors = process.errorStream.readAllBytes().decodeToString()
            process.waitFor(START_TIMEOUT_SECONDS, TimeUnit.SECONDS)
            return CommandRun(process.exitValue(), output.get(), errors)
        }
    }
}

private fun javaCommand(main: String): List<String> =
    listOf(
        "${System.getProperty("java.home")}/bin/java",
        "-Xmx64m",
        "-Xss256k",
        "-XX:+UseSerialGC",
        "-XX:TieredStopAtLevel=1",
        "-XX:-UsePerfData",
        "-cp",
        System.getProperty("java.class.path"),
        main,
    )

internal fun startProcess(main: String, arguments: List<String>, log: File, environment: Map<String, String> = emptyMap()): Process {
    val builder = ProcessBuilder(
        javaCommand(main) + arguments,
    ).redirectErrorStream(true).redirectOutput(ProcessBuilder.Redirect.appendTo(log))
    builder.environment().putAll(environment)
    return builder.start()
}

internal fun signal(process: Process, name: String) {
    ProcessBuilder("kill", "-$name", "${process.pid()}").start().waitFor()
}

private val client: HttpClient = HttpClient.newBuilder().version(HttpClient.Version.HTTP_1_1).connectTimeout(Duration.ofSeconds(5)).build()

/** A VM of the test fleet: a daemon and its worker, with their four loopback ports. */
internal class FleetNode(val vm: String, val dataCentre: String, val service: String) {
    private val ports = freePorts(4)
    val callerPort = ports[0]
    val innerPort = ports[1]
    val adminPort = ports[2]
    val workerPort = ports[3]
    lateinit var daemon: Process
    lateinit var workerProcess: Process
}

/**
 * Returns ports on which nothing listens and that were not returned before. They are below those that the kernel gives to outgoing
 * connections, which could otherwise take a port before its process starts, or while it restarts.
 */
internal fun freePorts(count: Int): List<Int> {
    val sockets = generateSequence { unusedPorts.random() }.filter(returnedPorts::add).mapNotNull(::listenOrNull).take(count).toList()
    return sockets.map { socket -> socket.use { it.localPort } }
}

/** Returns the first of two ports in succession, both as [freePorts] returns them. */
internal fun freePortPair(): Int {
    val pairs = generateSequence { unusedPorts.random() }.filter { listOf(it, it + 1).all(returnedPorts::add) }
    return pairs.first { first -> listOf(first, first + 1).map(::listenOrNull).onEach { it?.close() }.all { it != null } }
}

private val unusedPorts = 22_000..32_000
private val returnedPorts = ConcurrentHashMap.newKeySet<Int>()

private fun listenOrNull(port: Int): ServerSocket? =
    try {
        ServerSocket(port)
    } catch (_: IOException) {
        null
    }

/** Fleet of real processes on loopback: a store, and on each of [nodes] a daemon with its worker. */
internal class ProcessFleet(val nodes: List<FleetNode>, private val document: String) : Closeable {
    private val directory = Files.createTempDirectory("fleet").toFile()
    private val processes = mutableListOf<Process>()
    private val storePort = freePorts(1).first()

    fun start() {
        processes += startProcess("org.endivestep.emulator.MainKt", listOf("store", "--port", "$storePort"), File(directory, "store.log"))
        awaitStatus("http://127.0.0.1:$storePort/counts", 200)
        nodes.forEach(::startDaemon)
        nodes.forEach(::startWorker)
        nodes.forEach { awaitStatus("http://127.0.0.1:${it.adminPort}/health", 200) }
        File(directory, "document.ini").writeText(document)
        val applied = apply(document)
        check(applied.code == 0) { "applying the document ended with exit code ${applied.code}: ${applied.output} ${applied.errors}" }
        nodes.forEach { awaitStatus("http://127.0.0.1:${it.adminPort}/ready", 200) }
        awaitCondition("every daemon lists all workers as serving") { nodes.all { node -> serving(node) == nodes.size } }
    }

    fun startDaemon(node: FleetNode) {
        val settings = File(directory, "${node.vm}.ini")
        settings.writeText(settingsOf(node))
        node.daemon =
            startProcess("org.endivestep.MainKt", listOf("daemon", "--settings", settings.path), File(directory, "${node.vm}.log"))
        processes += node.daemon
    }

    fun startWorker(node: FleetNode) {
        val arguments =
            listOf("worker", "--port", "${node.workerPort}", "--admin", "http://127.0.0.1:${node.adminPort}", "--service", node.service)
        node.workerProcess =
            startProcess("org.endivestep.emulator.MainKt", arguments + listOf("--time-ms", "2"), File(directory, "${node.vm}-worker.log"))
        processes += node.workerProcess
    }

    /** Returns the log lines of the daemon of [node] that contain [text]. */
    fun logLines(node: FleetNode, text: String): List<String> = File(directory, "${node.vm}.log").readLines().filter { text in it }

    fun settingsFile(node: FleetNode): File = File(directory, "${node.vm}.ini")

    fun apply(text: String, base: Int? = null, through: FleetNode = nodes.first()): CommandRun {
        val file = File.createTempFile("document", ".ini", directory)
        file.writeText(text)
        val options = listOf("--server", "http://127.0.0.1:${through.adminPort}") + (base?.let { listOf("--base", "$it") }.orEmpty())
        return CommandRun.endivestep(listOf("apply") + options + file.path)
    }

    fun command(vararg words: String, through: FleetNode = nodes.first()): CommandRun =
        CommandRun.endivestep(listOf(words.first(), "--server", "http://127.0.0.1:${through.adminPort}") + words.drop(1))

    fun storeFaults(query: String) {
        post("http://127.0.0.1:$storePort/faults?$query", emptyMap())
    }

    fun setWorkerBehaviour(node: FleetNode, query: String) {
        post("http://127.0.0.1:${node.workerPort}/emulator/behaviour?$query", emptyMap())
    }

    fun runs(node: FleetNode): List<String> =
        get("http://127.0.0.1:${node.workerPort}/emulator/runs").body().lines().filter { it.isNotEmpty() }

    fun version(node: FleetNode): Int {
        val metrics = get("http://127.0.0.1:${node.adminPort}/metrics").body().lines()
        return metrics.first { it.startsWith("endivestep_configuration_version") }.substringAfterLast(' ').toDouble().toInt()
    }

    fun send(through: FleetNode, method: String, path: String, headers: Map<String, String>, body: ByteArray = ByteArray(0)) =
        client.send(request("http://127.0.0.1:${through.callerPort}$path", method, headers, body), HttpResponse.BodyHandlers.ofByteArray())

    fun sendAsync(through: FleetNode, method: String, path: String, headers: Map<String, String>) =
        client.sendAsync(
            request("http://127.0.0.1:${through.callerPort}$path", method, headers, ByteArray(0)),
            HttpResponse.BodyHandlers.ofByteArray(),
        )

    fun get(url: String, user: String = OPERATOR, password: String = PASSWORD): HttpResponse<String> {
        val credentials = Base64.getEncoder().encodeToString("$user:$password".toByteArray())
        val request = request(url, "GET", mapOf("Authorization" to "Basic $credentials"), ByteArray(0))
        return client.send(request, HttpResponse.BodyHandlers.ofString())
    }

    /** Returns the number of workers that the daemon of [node] lists as serving. */
    fun serving(node: FleetNode): Int =
        Regex("\"serving\":true").findAll(get("http://127.0.0.1:${node.adminPort}/api/status").body()).count()

    override fun close() {
        processes.forEach { it.destroyForcibly() }
        processes.forEach { it.waitFor() }
        directory.deleteRecursively()
    }

    private fun post(url: String, headers: Map<String, String>) =
        client.send(request(url, "POST", headers, ByteArray(0)), HttpResponse.BodyHandlers.ofString())

    private fun request(url: String, method: String, headers: Map<String, String>, body: ByteArray): HttpRequest {
        val builder = HttpRequest.newBuilder(URI(url)).timeout(Duration.ofSeconds(30))
        headers.forEach { (name, value) -> builder.header(name, value) }
        return builder.method(method, HttpRequest.BodyPublishers.ofByteArray(body)).build()
    }

    private fun awaitStatus(url: String, status: Int) =
        awaitCondition("$url answers $status") { runCatching { get(url).statusCode() }.getOrNull() == status }

    private fun settingsOf(node: FleetNode): String =
        """
        [daemon]
        vm = ${node.vm}
        data-centre = ${node.dataCentre}
        host = 127.0.0.1
        caller-port = ${node.callerPort}
        inner-port = ${node.innerPort}
        admin-port = ${node.adminPort}
        seeds = 127.0.0.1:${nodes.first().innerPort}, 127.0.0.1:${nodes.last().innerPort}
        [store]
        url = http://127.0.0.1:$storePort
        [security]
        shared-secret = a secret of the tests
        [operators]
        $OPERATOR = $passwordHash
        """.trimIndent()
}

/** Waits until [condition] holds; fails with a message that contains [description] when it does not hold within [seconds]. */
internal fun awaitCondition(description: String, seconds: Long = START_TIMEOUT_SECONDS, condition: () -> Boolean) {
    val deadlineNanos = System.nanoTime() + TimeUnit.SECONDS.toNanos(seconds)
    while (!condition()) {
        check(System.nanoTime() < deadlineNanos) { "condition not met within $seconds s: $description" }
        Thread.sleep(50)
    }
}
