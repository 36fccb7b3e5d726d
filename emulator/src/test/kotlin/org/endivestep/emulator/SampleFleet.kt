package org.endivestep.emulator

import java.net.http.HttpResponse

internal val document =
    """
    [data-centre haarlem]
    region = nl-west
    state = in
    [data-centre katwijk]
    region = nl-west
    state = in
    [service bestel]
    limit-cold = 4
    limit-max = 20
    shed-status = 503
    echoes-request-id = yes
    [service voorraad]
    limit-cold = 4
    limit-max = 20
    shed-status = 503
    echoes-request-id = yes
    [kind bestel.order]
    methods = POST
    path = /
    idempotent = no
    deadline-ms = 8000
    [kind bestel.read]
    methods = GET
    path = /
    idempotent = yes
    deadline-ms = 8000
    [kind voorraad.read]
    methods = GET
    path = /
    idempotent = yes
    deadline-ms = 8000
    """.trimIndent()

internal val order1 = FleetNode("bestel-1", "haarlem", "bestel")
internal val order2 = FleetNode("bestel-2", "katwijk", "bestel")
internal val stock1 = FleetNode("voorraad-1", "haarlem", "voorraad")
internal val stock2 = FleetNode("voorraad-2", "katwijk", "voorraad")
internal val fleet = ProcessFleet(listOf(order1, order2, stock1, stock2), document)

internal fun headers(service: String, name: String, vararg more: Pair<String, String>): Map<String, String> =
    mapOf("Endivestep-Service" to service, NAME_HEADER to name) + more

internal fun HttpResponse<ByteArray>.outcome(): String = headers().firstValue("Endivestep-Outcome").orElse("")

internal fun runCount(name: String): Int = listOf(order1, order2, stock1, stock2).sumOf { node -> fleet.runs(node).count { it == name } }

internal fun restartWorker(node: FleetNode) {
    node.workerProcess.destroyForcibly().waitFor()
    fleet.startWorker(node)
    awaitCondition("the restarted worker on ${node.vm} is serving") {
        runCatching { fleet.runs(node).isEmpty() }.getOrDefault(false) && fleet.serving(order1) == 4
    }
}
