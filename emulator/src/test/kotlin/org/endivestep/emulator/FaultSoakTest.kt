package org.endivestep.emulator

import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.collections.shouldBeEmpty
import java.io.File

/** Time in ms within which the faults of a run begin. */
private const val FAULTS_MS = 18_000L

/** Seeds with which a run once broke a promise, by the cause. */
private val regressions =
    mapOf(
        "a worker's answer without a signature was passed on as a success" to (1L..17L) + (19L..24L),
        "SIGHUP ended a daemon that had just been started" to listOf<Long>(3, 5, 10, 14),
    )

private val seeds: Iterable<Long> =
    if (System.getProperty("soak.regressions") == "true") {
        regressions.values.flatten().toSortedSet()
    } else {
        val first = System.getProperty("soak.firstSeed")?.toLong() ?: 1
        first until first + (System.getProperty("soak.seeds")?.toLong() ?: 1)
    }

class FaultSoakTest :
    FunSpec({
        for (seed in seeds) {
            test("callers and workers see no promise broken under the faults of seed $seed") {
                val run = SoakRun(seed, FAULTS_MS)
                val logs = File("target/soak/$seed")
                val findings = run.findings(logs)
                val kinds = findings.groupingBy { it.substringBefore(':') }.eachCount()
                println("soak seed=$seed ${if (findings.isEmpty()) "passed" else "FAILED $kinds logs=$logs"} ${run.summary()}")
                findings.take(10).shouldBeEmpty()
            }
        }
    })
