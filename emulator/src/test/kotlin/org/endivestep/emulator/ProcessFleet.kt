package org.endivestep.emulator

import java.io.Closeable
import java.io.File
import java.net.ServerSocket
import java.net.URI
import java.net.http.HttpClient
import java.net.http.HttpRequest
import java.net.http.HttpResponse
import java.nio.file.Files
import java.time.Duration
import java.util.Base64
import java.util.concurrent.CompletableFuture
import java.util.concurrent.TimeUnit

private const val START_SECONDS = 60L

internal const val OPERATOR = "anna"
internal const val PASSWORD = "duinzand"

// Hash of PASSWORD.
private val passwordHash: String by lazy { CommandRun.endivestep(listOf("hash-password"), input = "$PASSWORD\n").output.trim() }

/** Result of a command that ended. */
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
            process.waitFor(START_SECONDS, TimeUnit.SECONDS)
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
    val builder = ProcessBuilder(javaCommand(main) + arguments).redirectErrorStream(true).redirectOutput(log)
    builder.environment().putAll(environment)
    return builder.start()
}

internal fun signal(process: Process, name: String) {
    ProcessBuilder("kill", "-$name", "${process.pid()}").start().waitFor()
}

private val client: HttpClient = HttpClient.newBuilder().version(HttpClient.Version.HTTP_1_1).connectTimeout(Duration.ofSeconds(5)).build()

/** A place for a daemon and its worker: four ports. */
internal class Place(val vm: String, val centre: String, val service: String) {
    private val ports = freePorts(4)
    val caller = ports[0]
    val inner = ports[1]
    val admin = ports[2]
    val worker = ports[3]
    lateinit var daemon: Process
    lateinit var workerProcess: Process
}

internal fun freePorts(count: Int): List<Int> {
    val sockets = List(count) { ServerSocket(0) }
    return sockets.map { socket -> socket.use { it.localPort } }
}

/** Real processes on loopback: a store, and a daemon with its worker at each place. */
internal class ProcessFleet(val places: List<Place>, private val document: String) : Closeable {
    private val directory = Files.createTempDirectory("fleet").toFile()
    private val processes = mutableListOf<Process>()
    private val storePort = freePorts(1).first()

    fun start() {
        processes += startProcess("org.endivestep.emulator.MainKt", listOf("store", "--port", "$storePort"), File(directory, "store.log"))
        awaitStatus("http://127.0.0.1:$storePort/counts", 200)
        places.forEach(::startDaemon)
        places.forEach(::startWorker)
        places.forEach { awaitStatus("http://127.0.0.1:${it.admin}/health", 200) }
        File(directory, "document.ini").writeText(document)
        val applied = apply(document)
        check(applied.code == 0) { "apply: ${applied.code} ${applied.output} ${applied.errors}" }
        places.forEach { awaitStatus("http://127.0.0.1:${it.admin}/ready", 200) }
        awaitTrue("all workers are known everywhere") { places.all { place -> serving(place) == places.size } }
    }

    fun startDaemon(place: Place) {
        val settings = File(directory, "${place.vm}.ini")
        settings.writeText(settingsOf(place))
        place.daemon =
            startProcess("org.endivestep.MainKt", listOf("daemon", "--settings", settings.path), File(directory, "${place.vm}.log"))
        processes += place.daemon
    }

    fun startWorker(place: Place) {
        val arguments =
            listOf("worker", "--port", "${place.worker}", "--admin", "http://127.0.0.1:${place.admin}", "--service", place.service)
        place.workerProcess =
            startProcess("org.endivestep.emulator.MainKt", arguments + listOf("--time-ms", "2"), File(directory, "${place.vm}-worker.log"))
        processes += place.workerProcess
    }

    fun settingsFile(place: Place): File = File(directory, "${place.vm}.ini")

    fun apply(text: String, base: Int? = null, through: Place = places.first()): CommandRun {
        val file = File.createTempFile("document", ".ini", directory)
        file.writeText(text)
        val options = listOf("--server", "http://127.0.0.1:${through.admin}") + (base?.let { listOf("--base", "$it") }.orEmpty())
        return CommandRun.endivestep(listOf("apply") + options + file.path)
    }

    fun command(vararg words: String, through: Place = places.first()): CommandRun =
        CommandRun.endivestep(listOf(words.first(), "--server", "http://127.0.0.1:${through.admin}") + words.drop(1))

    fun storeFaults(query: String) {
        post("http://127.0.0.1:$storePort/faults?$query", emptyMap())
    }

    fun behave(place: Place, query: String) {
        post("http://127.0.0.1:${place.worker}/emulator/behaviour?$query", emptyMap())
    }

    fun runs(place: Place): List<String> =
        get("http://127.0.0.1:${place.worker}/emulator/runs").body().lines().filter { it.isNotEmpty() }

    fun version(place: Place): Int {
        val metrics = get("http://127.0.0.1:${place.admin}/metrics").body().lines()
        return metrics.first { it.startsWith("endivestep_configuration_version") }.substringAfterLast(' ').toDouble().toInt()
    }

    fun send(through: Place, method: String, path: String, headers: Map<String, String>, body: ByteArray = ByteArray(0)) =
        client.send(request("http://127.0.0.1:${through.caller}$path", method, headers, body), HttpResponse.BodyHandlers.ofByteArray())

    fun sendLater(through: Place, method: String, path: String, headers: Map<String, String>) =
        client.sendAsync(
            request("http://127.0.0.1:${through.caller}$path", method, headers, ByteArray(0)),
            HttpResponse.BodyHandlers.ofByteArray(),
        )

    fun get(url: String, user: String = OPERATOR, password: String = PASSWORD): HttpResponse<String> {
        val credentials = Base64.getEncoder().encodeToString("$user:$password".toByteArray())
        val request = request(url, "GET", mapOf("Authorization" to "Basic $credentials"), ByteArray(0))
        return client.send(request, HttpResponse.BodyHandlers.ofString())
    }

    /** Number of workers that the daemon at [place] would send work to. */
    fun serving(place: Place): Int =
        Regex("\"serving\":true").findAll(get("http://127.0.0.1:${place.admin}/api/status").body()).count()

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
        awaitTrue("$url answers $status") { runCatching { get(url).statusCode() }.getOrNull() == status }

    private fun settingsOf(place: Place): String =
        """
        [daemon]
        vm = ${place.vm}
        data-centre = ${place.centre}
        host = 127.0.0.1
        caller-port = ${place.caller}
        inner-port = ${place.inner}
        admin-port = ${place.admin}
        seeds = 127.0.0.1:${places.first().inner}, 127.0.0.1:${places.last().inner}
        [store]
        url = http://127.0.0.1:$storePort
        [security]
        shared-secret = a secret of the tests
        [operators]
        $OPERATOR = $passwordHash
        """.trimIndent()
}

/** Waits until [condition] holds; fails with [what] when it does not within [seconds]. */
internal fun awaitTrue(what: String, seconds: Long = START_SECONDS, condition: () -> Boolean) {
    val until = System.nanoTime() + TimeUnit.SECONDS.toNanos(seconds)
    while (!condition()) {
        check(System.nanoTime() < until) { "not within $seconds s: $what" }
        Thread.sleep(50)
    }
}
