package org.endivestep.emulator

import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.collections.shouldBeEmpty
import io.kotest.matchers.collections.shouldHaveSize
import io.kotest.matchers.longs.shouldBeLessThan
import io.kotest.matchers.shouldBe
import java.util.concurrent.TimeUnit

private const val HOST = "shop.example"

private fun configuration(version: Int, readsGoTo: String = "stock"): String =
    """
    {"version":"r$version","limits":{"max_header_bytes":16384,"max_body_bytes":67108864,"header_timeout_s":3,"idle_timeout_s":15},
    "listeners":[{"host":"$HOST","rules":[
    {"name":"reads","kind":"idempotent","slo_s":0.5,"priority":2,"match":{"path_prefix":"/reads/"},
    "action":{"service":"$readsGoTo","timeout_s":2,"attempts":2}},
    {"name":"orders","kind":"non_idempotent","slo_s":0.5,"priority":1,"match":{"path_prefix":"/orders/"},
    "action":{"service":"orders","timeout_s":2,"attempts":2}}]}],
    "clusters":[{"name":"stock","health_path":"/health","cold_start_s":3.0,"cold_per_s":18.0},
    {"name":"orders","health_path":"/health","cold_start_s":3.0,"cold_per_s":18.0}]}
    """.trimIndent().replace("\n", "")

private fun runningFleet(): PlatformFleet {
    val nodes =
        listOf(
            PlatformNode("stock-a", "a", "stock"),
            PlatformNode("orders-a", "a", "orders"),
            PlatformNode("stock-b", "b", "stock"),
            PlatformNode("orders-b", "b", "orders"),
        )
    val fleet = PlatformFleet(nodes)
    fleet.start()
    fleet.write("config", "main", configuration(3))
    awaitCondition("all daemons are ready") { nodes.all(fleet::isReady) }
    awaitCondition("requests through every daemon reach both services") {
        nodes.all { fleet.send(it, HOST, "/reads/1").statusCode() == 200 && fleet.send(it, HOST, "/orders/1", "POST").statusCode() == 200 }
    }
    return fleet
}

class PlatformProcessTest :
    FunSpec({
        test("requests, drain of a data centre, configuration change, store outage and restart in real processes on an emulated platform") {
            runningFleet().use { fleet ->
                val (stockA, ordersA) = fleet.nodes
                val (stockB, ordersB) = fleet.nodes.drop(2)

                val answer = fleet.send(ordersA, HOST, "/reads/7?size=9", "GET")
                answer.statusCode() shouldBe 200
                answer.headers().firstValue("X-Server-Stamp").isPresent shouldBe true
                val runsOfRequest = (fleet.runs(stockA) + fleet.runs(stockB)).filter { "/reads/7?size=9" in it }
                runsOfRequest shouldHaveSize 1
                ("caller=orders" in runsOfRequest.single()) shouldBe true

                fleet.send(ordersA, HOST, "/nowhere/1").statusCode() shouldBe 404
                fleet.send(stockA, HOST, "/orders/big", "POST", "x".repeat(900_000)).statusCode() shouldBe 200
                (fleet.runs(ordersA) + fleet.runs(ordersB)).count { "/orders/big" in it && "body=900000" in it } shouldBe 1

                // A request refused by one worker is sent to another one; when all refuse, the caller gets 503 with Retry-After.
                fleet.setWorkerBehaviour(ordersA, "refuses-with=503")
                fleet.send(ordersA, HOST, "/orders/2", "POST").statusCode() shouldBe 200
                fleet.setWorkerBehaviour(ordersB, "refuses-with=503")
                val refused = fleet.send(ordersA, HOST, "/orders/3", "POST")
                refused.statusCode() shouldBe 503
                (refused.headers().firstValue("Retry-After").get().toDouble() > 0) shouldBe true
                listOf(ordersA, ordersB).forEach { fleet.setWorkerBehaviour(it, "refuses-with=0") }

                fleet.write("evacuations", "a", "{}")
                awaitCondition("data centre a gets no more requests") {
                    val path = "/reads/out-${System.nanoTime()}"
                    repeat(5) { fleet.send(stockA, HOST, path) }
                    fleet.runs(stockA).none { path in it }
                }
                fleet.delete("evacuations", "a")
                awaitCondition("data centre a gets requests again") {
                    fleet.send(stockA, HOST, "/reads/back")
                    fleet.runs(stockA).any { "/reads/back" in it }
                }

                fleet.write("config", "main", configuration(9, readsGoTo = "orders"))
                awaitCondition("the new version is in force on every daemon", seconds = 5) {
                    val path = "/reads/new-${System.nanoTime()}"
                    fleet.nodes.forEach { fleet.send(it, HOST, path) }
                    (fleet.runs(stockA) + fleet.runs(stockB)).none { path in it }
                }

                // During a store outage requests are still answered, and the daemons do not flood the store with calls.
                fleet.storeFaults("status=503")
                Thread.sleep(1_000)
                val callsBefore = fleet.storeCalls()
                Thread.sleep(4_000)
                fleet.send(stockA, HOST, "/reads/dark").statusCode() shouldBe 200
                (fleet.storeCalls() - callsBefore) shouldBeLessThan 60
                fleet.storeFaults("status=0")

                // SIGHUP, which reports a changed settings file, does not end the daemon.
                signal(stockB.daemon, "HUP")
                Thread.sleep(500)
                stockB.daemon.isAlive shouldBe true

                // While one daemon stops gracefully, requests through another one are answered.
                signal(ordersB.daemon, "TERM")
                repeat(30) { fleet.send(stockB, HOST, "/reads/stop-$it").statusCode() shouldBe 200 }
                ordersB.daemon.waitFor(8, TimeUnit.SECONDS) shouldBe true
                ordersB.daemon.exitValue() shouldBe 0

                // A restarted daemon finds its peers, its worker and the configuration.
                fleet.startDaemon(ordersB)
                awaitCondition("the daemon is ready again") { fleet.isReady(ordersB) }
                awaitCondition("its worker gets requests again") {
                    fleet.send(ordersB, HOST, "/orders/again", "POST")
                    fleet.runs(ordersB).any { "/orders/again" in it }
                }
                fleet.log(ordersA).lines().filter { "iteration of background loop" in it }.shouldBeEmpty()
            }
        }
    })
