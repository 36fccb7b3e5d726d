package org.endivestep.emulator

import io.kotest.assertions.withClue
import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.shouldBe
import java.util.concurrent.TimeUnit

class KilledWorkerProcessTest :
    FunSpec({
        val order1 = FleetNode("bestel-1", "haarlem", "bestel")
        val stock1 = FleetNode("voorraad-1", "haarlem", "voorraad")
        val order2 = FleetNode("bestel-2", "katwijk", "bestel")
        val stock2 = FleetNode("voorraad-2", "katwijk", "voorraad")
        val fleet = ProcessFleet(listOf(order1, order2, stock1, stock2), document)

        beforeSpec { fleet.start() }
        afterSpec { fleet.close() }

        test("all idempotent requests are answered when a worker is killed") {
            // As many requests as the other worker, while cold, can run or keep waiting for up to 500 ms.
            val reads = (1..16).map { fleet.sendAsync(order1, "GET", "/", headers("voorraad", "kill-$it", TIME_HEADER to "10")) }
            stock1.workerProcess.destroyForcibly()
            val responses = reads.map { it.get(30, TimeUnit.SECONDS) }
            val reasons = responses.groupingBy { it.outcome() + " " + it.headers().firstValue("Endivestep-Reason").orElse("") }.eachCount()
            withClue({ "$reasons\n" + fleet.logLines(order1, "\"attempts\"").joinToString("\n") }) {
                responses.forEach { it.outcome() shouldBe "answered" }
            }
        }
    })
