package org.endivestep.emulator

import io.kotest.assertions.withClue
import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.shouldBe
import java.util.concurrent.CompletableFuture
import java.util.concurrent.TimeUnit

private const val HOST = "shop.example"
private const val WORK_MS = 2_900L

// Of its slots, a daemon leaves a fifth free.
private const val SLOTS = 5

// All requests come while the platform may still send some. The last one waits until the first ones have ended.
private val sendTimesMs = listOf(100L, 101L, 102L, 103L, 2_300L)

private val configuration =
    """
    {"version":"r3","limits":{"max_header_bytes":16384,"max_body_bytes":1048576,"header_timeout_s":3,"idle_timeout_s":15},
    "listeners":[{"host":"$HOST","rules":[
    {"name":"orders","kind":"non_idempotent","slo_s":4,"priority":2,"match":{"path_prefix":"/orders/"},
    "action":{"service":"stock","timeout_s":12,"attempts":2}}]}],
    "clusters":[{"name":"stock","health_path":"/health","cold_start_s":3.0,"cold_per_s":1000.0},
    {"name":"shop","health_path":"/health","cold_start_s":3.0,"cold_per_s":1000.0}]}
    """.trimIndent().replace("\n", "")

class LateInGraceProcessTest :
    FunSpec({
        // Guards against a request that is taken in the grace period, waits for its worker, and is cut when the process ends.
        test("a request that waits for a worker when its daemon stops is answered, or refused and never run") {
            val stopping = PlatformNode("shop-a", "a", "shop")
            val serving = PlatformNode("stock-b", "b", "stock")
            PlatformFleet(listOf(stopping, serving)).use { fleet ->
                fleet.startDaemons(configuration)
                fleet.startWorker(stopping)
                val behaviour = PlatformWorkerBehaviour("i-slow", SLOTS, WORK_MS)
                SpoilingWorkerServer(serving.workerPort, serving.service, behaviour) { null }.use { worker ->
                    PlatformHeartbeats("http://127.0.0.1:${serving.heartbeatPort}", behaviour, serving.service).use { heartbeats ->
                        heartbeats.start("127.0.0.1:${serving.workerPort}")
                        awaitCondition("orders are answered") { fleet.send(stopping, HOST, "/orders/1", "POST").statusCode() == 200 }
                        signal(stopping.daemon, "TERM")
                        val statuses =
                            sendTimesMs.map { sentAfterMs ->
                                CompletableFuture.supplyAsync({
                                    runCatching { fleet.send(stopping, HOST, "/orders/$sentAfterMs", "POST").statusCode() }.getOrDefault(0)
                                }, CompletableFuture.delayedExecutor(sentAfterMs, TimeUnit.MILLISECONDS))
                            }.map { it.get(20, TimeUnit.SECONDS) }
                        val ran = sendTimesMs.map { path -> worker.runs.any { "/orders/$path" in it.target } }
                        withClue("statuses $statuses, ran $ran") {
                            statuses.zip(ran).all { (status, hasRun) -> if (hasRun) status == 200 else status == 503 } shouldBe true
                        }
                    }
                }
            }
        }
    })
