package org.endivestep.emulator

import io.kotest.assertions.withClue
import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.shouldBe
import java.io.BufferedInputStream
import java.io.IOException
import java.net.Socket
import java.util.UUID
import java.util.concurrent.CompletableFuture
import java.util.concurrent.Executors

private const val HOST = "shop.example"
private const val UPLOADS = 60
private const val UPLOAD_BYTES = 8_000_000

// The heap that the deployment gives a daemon.
private const val HEAP_OPTIONS = "-Xmx96m -XX:+UseSerialGC -XX:MaxDirectMemorySize=32m -XX:+ExitOnOutOfMemoryError"

private val configuration =
    """
    {"version":"r3","limits":{"max_header_bytes":16384,"max_body_bytes":67108864,"header_timeout_s":3,"idle_timeout_s":15},
    "listeners":[{"host":"$HOST","rules":[
    {"name":"uploads","kind":"upload","slo_s":0.6,"priority":2,"match":{"path_prefix":"/uploads/"},
    "action":{"service":"stock","timeout_s":5,"attempts":2}}]}],
    "clusters":[{"name":"stock","health_path":"/health","cold_start_s":3.0,"cold_per_s":1000.0},
    {"name":"shop","health_path":"/health","cold_start_s":3.0,"cold_per_s":1000.0}]}
    """.trimIndent().replace("\n", "")

private val body = ByteArray(UPLOAD_BYTES) { it.toByte() }

/** Sends an upload; returns the status of its answer, 0 if the connection ended without one. */
private fun upload(through: PlatformNode): Int =
    try {
        Socket("127.0.0.1", through.callerPort).use { socket ->
            socket.soTimeout = 20_000
            val head =
                "POST /uploads/1 HTTP/1.1\r\nHost: $HOST\r\nX-Request-Id: ${UUID.randomUUID()}\r\nX-Deadline-Ms: 10000\r\n" +
                    "Content-Length: $UPLOAD_BYTES\r\n\r\n"
            socket.getOutputStream().write(head.toByteArray() + body)
            RawHttpMessage.read(BufferedInputStream(socket.getInputStream()))?.startLine?.split(' ')?.get(1)?.toInt() ?: 0
        }
    } catch (_: IOException) {
        0
    }

class LargeUploadsProcessTest :
    FunSpec({
        // Guards against a daemon that ends for lack of memory, and all of its callers' requests with it.
        test("a daemon survives many large uploads at once, and what its worker runs is whole") {
            val calling = PlatformNode("shop-a", "a", "shop")
            val serving = PlatformNode("stock-b", "b", "stock")
            val network = FleetNetwork(javaOptions = { HEAP_OPTIONS })
            PlatformFleet(listOf(calling, serving), network).use { fleet ->
                fleet.startDaemons(configuration)
                fleet.startWorker(calling)
                val behaviour = PlatformWorkerBehaviour("i-uploads", slots = 20, workMs = 100)
                SpoilingWorkerServer(serving.workerPort, serving.service, behaviour) { null }.use { worker ->
                    PlatformHeartbeats("http://127.0.0.1:${serving.heartbeatPort}", behaviour, serving.service).use { heartbeats ->
                        heartbeats.start("127.0.0.1:${serving.workerPort}")
                        awaitCondition("uploads are answered") { fleet.send(calling, HOST, "/uploads/0", "POST", "x").statusCode() == 200 }
                        val callers = Executors.newFixedThreadPool(UPLOADS)
                        val statuses =
                            (1..UPLOADS).map { CompletableFuture.supplyAsync({ upload(calling) }, callers) }.map { it.get() }
                        callers.shutdown()
                        withClue("statuses ${statuses.groupingBy { it }.eachCount()}") {
                            fleet.nodes.map { it.daemon.isAlive } shouldBe listOf(true, true)
                            fleet.send(calling, HOST, "/uploads/0", "POST", "x").statusCode() shouldBe 200
                            val whole = AnswerContent.digest(body)
                            worker.runs.filter { it.target.endsWith("/uploads/1") }.all { it.bodyDigest == whole } shouldBe true
                        }
                    }
                }
            }
        }
    })
