package org.endivestep.emulator

import io.kotest.assertions.withClue
import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.ints.shouldBeLessThanOrEqual
import io.kotest.matchers.shouldBe

private const val HOST = "shop.example"
private const val PATH = "/reads/popular"
private const val ROUNDS = 5

// Two deaths teach the daemons; a third may happen while the news of the second is on its way.
private const val MAX_DEATHS = 3

private val configuration =
    """
    {"version":"r3","limits":{"max_header_bytes":16384,"max_body_bytes":1048576,"header_timeout_s":3,"idle_timeout_s":15},
    "listeners":[{"host":"$HOST","rules":[
    {"name":"reads","kind":"idempotent","slo_s":0.5,"priority":2,"match":{"path_prefix":"/reads/"},
    "action":{"service":"stock","timeout_s":2,"attempts":1}}]}],
    "clusters":[{"name":"stock","health_path":"/health","cold_start_s":3.0,"cold_per_s":100.0},
    {"name":"orders","health_path":"/health","cold_start_s":3.0,"cold_per_s":100.0}]}
    """.trimIndent().replace("\n", "")

private class CrashingFleet(val fleet: PlatformFleet) {
    val workers = fleet.nodes.filter { it.service == "stock" }
    private val callers = fleet.nodes.filter { it.service == "orders" }
    var deaths = 0
        private set

    fun start() {
        fleet.start()
        fleet.write("config", "main", configuration)
        awaitCondition("all daemons are ready") { fleet.nodes.all(fleet::isReady) }
        workers.forEach(::prepare)
        awaitCondition("reads through every daemon are answered") {
            fleet.nodes.all { fleet.send(it, HOST, "/reads/1").statusCode() == 200 }
        }
    }

    /** Sends the harmless requests, which have the path of the crashing one but another caller; returns their statuses. */
    fun harmlessStatuses(): List<Int> = workers.map { fleet.send(it, HOST, PATH).statusCode() }

    /** Sends the crashing request through each daemon that has the crashing caller, and starts the workers that died of it again. */
    fun crash() {
        callers.forEach { fleet.send(it, HOST, PATH) }
        val died = workers.filterNot { it.workerProcess.isAlive }
        deaths += died.size
        died.forEach { node ->
            fleet.startWorker(node)
            prepare(node)
        }
    }

    private fun prepare(node: PlatformNode) {
        awaitCondition("the worker of ${node.vm} listens") {
            runCatching { fleet.setWorkerBehaviour(node, "crash-path=$PATH&crash-caller=orders") }.isSuccess
        }
        awaitCondition("the worker of ${node.vm} gets requests") {
            repeat(4) { fleet.send(node, HOST, "/reads/started") }
            fleet.runs(node).any { "/reads/started" in it }
        }
    }
}

class CrashingRequestProcessTest :
    FunSpec({
        // Guards against a request that crashes worker after worker because harmless requests with its path are answered.
        test("a request that crashes its workers is refused although another caller's requests with its path are answered") {
            val nodes = listOf("a", "b").flatMap {
                listOf(PlatformNode("stock-$it", it, "stock"), PlatformNode("orders-$it", it, "orders"))
            }
            PlatformFleet(nodes).use {
                val crashing = CrashingFleet(it)
                crashing.start()
                repeat(ROUNDS) {
                    crashing.harmlessStatuses() shouldBe listOf(200, 200)
                    crashing.crash()
                }
                withClue(nodes.filter { node -> node.service == "stock" }.joinToString("\n") { node -> deathsLog(it.log(node)) }) {
                    crashing.deaths shouldBeLessThanOrEqual MAX_DEATHS
                }
            }
        }
    })

private fun deathsLog(log: String): String = log.lines().filter { "died" in it || "suspicion" in it }.joinToString("\n")
