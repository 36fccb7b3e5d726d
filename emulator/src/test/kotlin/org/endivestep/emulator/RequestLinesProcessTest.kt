package org.endivestep.emulator

import io.kotest.assertions.withClue
import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.collections.shouldContainAll

private const val HOST = "shop.example"
private const val SLOTS = 4
private const val WORK_MS = 600L
private const val DEADLINE_MS = 5_000L

private val configuration =
    """
    {"version":"r3","limits":{"max_header_bytes":16384,"max_body_bytes":1048576,"header_timeout_s":3,"idle_timeout_s":15},
    "listeners":[{"host":"$HOST","rules":[
    {"name":"reads","kind":"idempotent","slo_s":4,"priority":2,"match":{"path_prefix":"/reads/"},
    "action":{"service":"stock","timeout_s":5,"attempts":1}}]}],
    "clusters":[{"name":"stock","health_path":"/health","cold_start_s":3.0,"cold_per_s":1000.0},
    {"name":"shop","health_path":"/health","cold_start_s":3.0,"cold_per_s":1000.0}]}
    """.trimIndent().replace("\n", "")

class RequestLinesProcessTest :
    FunSpec({
        // Guards against a request that runs and of which no log tells, because its caller had left (issue 54).
        test("a request that ran has a line with its times at both daemons, also when its caller has left") {
            class Case(val id: String, val patienceMs: Long, val ingressFields: List<String>, val egressFields: List<String>)
            val ingress = listOf("readDelayMs", "countedMs", "dispatchedMs", "elapsedMs")
            val egress = listOf("attempt", "crossingMs", "admittedMs", "writtenMs", "remainingMs", "elapsedMs")
            val calling = PlatformNode("shop-a", "a", "shop")
            val serving = PlatformNode("stock-b", "b", "stock")
            PlatformFleet(listOf(calling, serving)).use { fleet ->
                fleet.startDaemons(configuration)
                fleet.startWorker(calling)
                RecordingWorker(serving, SLOTS, WORK_MS).use {
                    awaitCondition("reads are answered") {
                        runCatching { fleet.send(calling, HOST, "/reads/1").statusCode() }.getOrNull() == 200
                    }
                    listOf(
                        Case("answered", patienceMs = DEADLINE_MS, ingress, egress),
                        Case("abandoned", patienceMs = WORK_MS / 2, ingress + "leftMs", egress + "leftMs"),
                    ).forEach { case ->
                        val caller = DeadlineCaller(case.id, "/reads/${case.id}", calling.callerPort, HOST, DEADLINE_MS, case.patienceMs)
                        caller.start()
                        caller.await()
                        awaitCondition("both daemons have a line of ${case.id}") {
                            listOf(calling, serving).all { fleet.line(it, case.id) != null }
                        }
                        withClue("the daemon that took ${case.id}") {
                            fieldNames(fleet.line(calling, case.id)) shouldContainAll case.ingressFields
                        }
                        withClue("the daemon that ran ${case.id}") {
                            fieldNames(fleet.line(serving, case.id)) shouldContainAll case.egressFields
                        }
                    }
                }
            }
        }
    })

private fun PlatformFleet.line(node: PlatformNode, id: String): String? = log(node).lines().firstOrNull { """{"request":"$id"}""" in it }

private val fieldName = Regex("""\{"(\w+)":""")

private fun fieldNames(line: String?): List<String> = fieldName.findAll(line.orEmpty()).map { it.groupValues[1] }.toList()
