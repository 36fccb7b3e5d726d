package org.endivestep.emulator

import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.shouldBe

private const val HOST = "restored.example"

private fun configuration(version: Int, prefix: String): String =
    """
    {"version":"r$version","listeners":[{"host":"$HOST","rules":[
    {"kind":"idempotent","match":{"path_prefix":"/reads/"},"action":{"service":"stock","timeout_s":2,"attempts":2}},
    {"kind":"idempotent","match":{"path_prefix":"/$prefix/"},"action":{"service":"stock","timeout_s":2,"attempts":2}}]}],
    "clusters":[{"name":"stock","health_path":"/health"}]}
    """.trimIndent().replace("\n", "")

private fun PlatformFleet.serveEverywhere(prefix: String): Boolean = nodes.all { send(it, HOST, "/$prefix/1").statusCode() == 200 }

private fun PlatformFleet.sendsNothingTo(node: PlatformNode): Boolean {
    val path = "/reads/out-${System.nanoTime()}"
    repeat(3) { nodes.forEach { send(it, HOST, path) } }
    return runs(node).none { path in it }
}

class RestoredStoreProcessTest :
    FunSpec({
        // Guards against confirmed changes that a restore of the store undoes, delays or hides.
        test("configurations and a data centre out of service stay in force across restores of the store in real processes") {
            val (a, b) = listOf(PlatformNode("stock-a", "a", "stock"), PlatformNode("stock-b", "b", "stock"))
            PlatformFleet(listOf(a, b)).use { fleet ->
                fleet.start()
                fleet.write("config", "main", configuration(3, "first"))
                awaitCondition("all daemons are ready") { fleet.nodes.all(fleet::isReady) }
                awaitCondition("the first configuration is in force") { fleet.serveEverywhere("first") }
                Thread.sleep(3_000)

                fleet.write("evacuations", "a", "{}")
                fleet.write("config", "main", configuration(5, "lost"))
                awaitCondition("the change is in force", seconds = 5) { fleet.serveEverywhere("lost") }
                awaitCondition("data centre a is out", seconds = 5) { fleet.sendsNothingTo(a) }

                fleet.restoreStore(seconds = 2.5)
                fleet.serveEverywhere("lost") shouldBe true
                fleet.sendsNothingTo(a) shouldBe true
                fleet.write("config", "main", configuration(5, "again"))
                awaitCondition("the version that was given out again is in force", seconds = 5) { fleet.serveEverywhere("again") }
                fleet.sendsNothingTo(a) shouldBe true
                fleet.write("evacuations", "a", "{}")
                fleet.write("config", "main", configuration(8, "later"))
                awaitCondition("a change after the restore is in force", seconds = 5) { fleet.serveEverywhere("later") }
                fleet.sendsNothingTo(a) shouldBe true

                fleet.delete("evacuations", "a")
                awaitCondition("data centre a gets requests again", seconds = 5) { !fleet.sendsNothingTo(a) }
            }
        }
    })
