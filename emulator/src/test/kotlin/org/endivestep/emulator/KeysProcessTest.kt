package org.endivestep.emulator

import io.kotest.assertions.withClue
import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.collections.shouldBeIn
import io.kotest.matchers.shouldBe
import io.kotest.matchers.string.shouldContain
import io.kotest.matchers.string.shouldNotContain
import java.util.concurrent.CompletableFuture
import java.util.concurrent.TimeUnit

private const val HOST = "shop.example"
private const val OLD_KEY = "k-old-0123456789"
private const val NEW_KEY = "k-new-0123456789"

private fun configuration(version: Int, vararg keys: String): String =
    """
    {"version":"r$version","tenants":[{"name":"first","api_keys":[${keys.joinToString { "\"$it\"" }}],"priority":1}],
    "listeners":[{"host":"$HOST","rules":[
    {"name":"reads","kind":"idempotent","slo_s":0.5,"priority":2,"match":{"path_prefix":"/reads/"},
    "action":{"service":"stock","timeout_s":4,"attempts":2}},
    {"name":"open","kind":"idempotent","slo_s":0.5,"priority":2,"public":true,"match":{"path_prefix":"/open/"},
    "action":{"service":"stock","timeout_s":4,"attempts":2}}]}],
    "clusters":[{"name":"stock","health_path":"/health","cold_start_s":3.0,"cold_per_s":1000.0},
    {"name":"shop","health_path":"/health","cold_start_s":3.0,"cold_per_s":1000.0}]}
    """.trimIndent().replace("\n", "")

private fun PlatformFleet.status(through: PlatformNode, key: String?, path: String = "/reads/1"): Int =
    send(through, HOST, path, headers = key?.let { mapOf("Authorization" to "Bearer $it", "X-Tenant" to "spoofed") }.orEmpty()).statusCode()

class KeysProcessTest :
    FunSpec({
        // Guards against a revoked key that a daemon accepts because it was stopped, and against keys that stay refused after an outage.
        test("keys are checked, removed on the way, revoked within the bound at a stopped daemon, and refused while the store is out") {
            val shop = PlatformNode("shop-a", "a", "shop")
            val stock = PlatformNode("stock-a", "a", "stock")
            val other = PlatformNode("stock-b", "b", "stock")
            val nodes = listOf(shop, stock, other)
            val limits =
                mapOf("retry_ratio" to "0.2", "retry_slack" to "60", "grace_s" to "6", "strict_revoke" to "true", "revoke_s" to "5")
            PlatformFleet(nodes, FleetNetwork(parameters = limits)).use { fleet ->
                fleet.startDaemons(configuration(3, OLD_KEY))
                listOf(stock, other).forEach(fleet::startWorker)
                awaitCondition("requests with the key run through every daemon") { nodes.all { fleet.status(it, OLD_KEY) == 200 } }
                nodes.forEach {
                    fleet.status(it, null) shouldBe 401
                    fleet.status(it, NEW_KEY) shouldBe 401
                    fleet.status(it, OLD_KEY, "/open/1") shouldBe 200
                }
                val runs = (fleet.runs(stock) + fleet.runs(other)).groupBy { "/open/" in it }
                runs.getValue(false).forEach { it shouldContain "team=first key=null" }
                runs.getValue(true).forEach { it shouldContain "team=null key=null" }

                signal(shop.daemon, "STOP")
                fleet.write("config", "main", configuration(4, NEW_KEY))
                awaitCondition("the new key is accepted and the old one is not") {
                    listOf(stock, other).all { fleet.status(it, NEW_KEY) == 200 && fleet.status(it, OLD_KEY) == 401 }
                }
                Thread.sleep(5_200)
                val late = List(8) { CompletableFuture.supplyAsync { fleet.status(shop, OLD_KEY) } }
                Thread.sleep(300)
                signal(shop.daemon, "CONT")
                late.forEach { it.get(10, TimeUnit.SECONDS) shouldBeIn listOf(401, 503) }
                awaitCondition("the new key is accepted by the daemon that was stopped") { fleet.status(shop, NEW_KEY) == 200 }
                fleet.status(shop, OLD_KEY) shouldBe 401

                fleet.storeFaults("status=503")
                awaitCondition("keys are refused while the store is out", seconds = 7) { nodes.all { fleet.status(it, NEW_KEY) == 503 } }
                nodes.forEach { fleet.status(it, null, "/open/2") shouldBe 200 }
                fleet.storeFaults("status=0")
                awaitCondition("keys are accepted again", seconds = 5) { nodes.all { fleet.status(it, NEW_KEY) == 200 } }
                nodes.forEach { node ->
                    withClue(node.vm) {
                        fleet.log(node) shouldContain "refusing requests with keys"
                        fleet.log(node) shouldNotContain OLD_KEY
                        fleet.log(node) shouldNotContain NEW_KEY
                    }
                }
            }
        }
    })
