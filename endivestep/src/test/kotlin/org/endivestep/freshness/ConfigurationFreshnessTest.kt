package org.endivestep.freshness

import io.kotest.assertions.withClue
import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.ints.shouldBeLessThanOrEqual
import io.kotest.matchers.shouldBe
import org.endivestep.configuration.ConfigurationPosition
import org.endivestep.identity.ConfigurationVersion
import org.endivestep.settings.Address
import java.util.SplittableRandom

private const val END_MS = 40_000L
private const val SEEDS = 60L

private fun position(version: Long) = ConfigurationPosition(ConfigurationVersion(version))

private fun accepts(daemon: SimulatedDaemon): Boolean = daemon.freshness.isFresh(daemon.clockMs())

/** Disturbs the daemons of [simulation] at random, each at most once in 300 ms. */
private class Disturbances(private val simulation: FreshnessSimulation) {
    private val random = simulation.random
    private val quietUntilMs = HashMap<SimulatedDaemon, Long>()

    fun schedule() {
        simulation.after(20 + random.nextLong(400)) {
            disturb()
            schedule()
        }
    }

    private fun disturb() {
        val daemon = simulation.daemons[random.nextInt(simulation.daemons.size)]
        when (random.nextInt(8)) {
            0, 1 -> simulation.commit()
            2 -> quietly(daemon) { simulation.stop(daemon, random.nextLong(12_000), isSuspension = true) }
            3 -> quietly(daemon) { simulation.stop(daemon, random.nextLong(12_000), isSuspension = false) }
            4 -> quietly(daemon) { daemon.timeOfDayOffsetMs += random.nextLong(-20_000, 20_000) }
            5 -> if (daemon.isAwake) daemon.restart()
            6 -> partition()
            else -> if (random.nextInt(4) == 0) simulation.store.restore()
        }
    }

    // A time of day that is set back between the same two readings as a suspension cannot be told from it.
    private fun quietly(daemon: SimulatedDaemon, disturb: () -> Unit) {
        if (!daemon.isAwake || simulation.nowMs < (quietUntilMs[daemon] ?: 0)) return
        disturb()
        quietUntilMs[daemon] = maxOf(daemon.resumesAtMs, simulation.nowMs) + 300
    }

    private fun partition() {
        val storeShare = random.nextDouble()
        val sides = 1 + random.nextInt(3)
        simulation.daemons.forEach {
            it.reachesStore = random.nextDouble() < storeShare
            it.side = random.nextInt(sides)
        }
    }
}

class ConfigurationFreshnessTest :
    FunSpec({
        // Guards against requests that run by a key although it was revoked longer ago than the bound.
        test("no daemon accepts a key later than the bound after its acknowledged removal, whatever happens") {
            var accepted = 0
            (1..SEEDS).forEach { seed ->
                val draw = SplittableRandom(seed)
                val count = if (seed % 10 == 0L) 200 else 1 + draw.nextInt(30)
                val simulation =
                    FreshnessSimulation(seed, count, loss = draw.nextDouble() / 3) { daemon ->
                        if (accepts(daemon)) {
                            accepted++
                            withClue({
                                "seed $seed, $count daemons, daemon ${daemon.number} at $nowMs ms, proof ${daemon.freshness.proof}"
                            }) {
                                (daemon.position >= store.required(nowMs)) shouldBe true
                            }
                        }
                    }
                simulation.commit()
                Disturbances(simulation).schedule()
                simulation.runUntil(END_MS)
            }
            // The test would show nothing if keys were never accepted.
            (accepted > 100_000) shouldBe true
        }

        // Guards against keys that are refused although nothing is wrong, or only some daemons cannot reach the store.
        test(
            "keys are accepted all the time in calm, also while a third of the daemons can't reach the store, at a bounded number of calls",
        ) {
            class Case(val name: String, val count: Int, val callsPerSecond: Int, val isCutOff: (Int) -> Boolean = { false })
            // The daemons with low numbers are the readers of the three data centres.
            listOf(
                Case("one daemon", 1, callsPerSecond = 2),
                Case("two daemons", 2, callsPerSecond = 3),
                Case("75 daemons", 75, callsPerSecond = 5),
                Case("200 daemons", 200, callsPerSecond = 5),
                Case("one reader of each data centre is cut off", 75, callsPerSecond = 9) { it % 9 < 3 },
                Case("all readers are cut off", 75, callsPerSecond = 18) { it < 25 },
                Case("all readers of 200 are cut off", 200, callsPerSecond = 35) { it < 66 },
                Case("a data centre is cut off", 75, callsPerSecond = 12) { it % 3 == 0 },
            ).forEach { case ->
                (1L..3L).forEach { seed ->
                    withClue("${case.name}, seed $seed") {
                        val simulation =
                            FreshnessSimulation(seed, case.count, loss = 0.0) { daemon ->
                                if (nowMs > 2_500) withClue({ "daemon ${daemon.number} at $nowMs ms" }) { accepts(daemon) shouldBe true }
                            }
                        simulation.daemons.filter { case.isCutOff(it.number) }.forEach { it.reachesStore = false }
                        simulation.commit()
                        (1..8).forEach { change -> simulation.after(change * 4_000L) { simulation.commit() } }
                        simulation.runUntil(END_MS)
                        simulation.store.calls shouldBeLessThanOrEqual (case.callsPerSecond * END_MS / 1_000).toInt()
                    }
                }
            }
        }

        test("a proof counts from its question, and only for a configuration that this daemon has") {
            class Case(val name: String, val answer: FreshnessAnswer, val own: Long, val afterwards: Long, val freshUntilMs: Long?)
            listOf(
                Case(
                    "the same configuration",
                    FreshnessAnswer(300, position(5)),
                    own = 5,
                    afterwards = 5,
                    freshUntilMs =
                    10_000 - 300 + VALID_MS,
                ),
                Case("an earlier one", FreshnessAnswer(300, position(4)), own = 5, afterwards = 5, freshUntilMs = 10_000 - 300 + VALID_MS),
                Case(
                    "a later one, fetched",
                    FreshnessAnswer(300, position(6)),
                    own = 5,
                    afterwards = 6,
                    freshUntilMs =
                    10_000 - 300 + VALID_MS,
                ),
                Case("a later one, not fetched", FreshnessAnswer(300, position(6)), own = 5, afterwards = 5, freshUntilMs = null),
                Case("no proof", FreshnessAnswer(null, position(5)), own = 5, afterwards = 5, freshUntilMs = null),
                Case("a proof from the future", FreshnessAnswer(-300, position(5)), own = 5, afterwards = 5, freshUntilMs = null),
                Case("an old proof", FreshnessAnswer(VALID_MS, position(5)), own = 5, afterwards = 5, freshUntilMs = 10_000),
            ).forEach { case ->
                val peer = Address("peer", 1)
                val peers = FreshnessPeers(isReader = false, listOf(peer), listOf(peer))
                val freshness = ConfigurationFreshness(VALID_MS, SplittableRandom(1))
                val asked = freshness.questions(10_000, position(case.own), peers).filterIsInstance<FreshnessQuestion.ToPeer>().first()
                val holder = freshness.peerAnswered(asked.sequence, case.answer, position(case.own))
                freshness.questions(10_050, position(case.afterwards), peers)
                withClue(case.name) {
                    (holder == peer) shouldBe (case.answer.position > position(case.own))
                    freshness.isFresh((case.freshUntilMs ?: 10_051) - 1) shouldBe (case.freshUntilMs != null)
                    freshness.isFresh(case.freshUntilMs ?: 10_051) shouldBe false
                }
            }
        }

        test("an answer counts once, and only if its question is known") {
            val peer = Address("peer", 1)
            val freshness = ConfigurationFreshness(VALID_MS, SplittableRandom(1))
            val peers = FreshnessPeers(isReader = false, listOf(peer), listOf(peer))
            val asked = freshness.questions(10_000, position(5), peers).filterIsInstance<FreshnessQuestion.ToPeer>().first()
            freshness.peerAnswered(asked.sequence + 1_000, FreshnessAnswer(0, position(5)), position(5))
            freshness.isFresh(10_001) shouldBe false
            freshness.peerAnswered(asked.sequence, FreshnessAnswer(2_000, position(5)), position(5))
            freshness.peerAnswered(asked.sequence, FreshnessAnswer(0, position(5)), position(5))
            freshness.ageMs(10_000) shouldBe 2_000
        }

        // Guards against a store that is called by every daemon of a fleet at the rate of a reader while it does not answer.
        test("while the store does not answer, a daemon asks it rarely unless it is a reader") {
            class Case(val isReader: Boolean, val callsInMinute: IntRange)
            listOf(Case(isReader = true, 35..43), Case(isReader = false, 14..30)).forEach { case ->
                val freshness = ConfigurationFreshness(VALID_MS, SplittableRandom(1))
                val peers = FreshnessPeers(case.isReader, emptyList(), emptyList())
                val calls =
                    (0L..60_000L step 100).count { nowMs ->
                        val asks = FreshnessQuestion.ToStore in freshness.questions(nowMs, position(1), peers)
                        if (asks) freshness.storeAnswered(nowMs, null)
                        asks
                    }
                withClue("reader: ${case.isReader}, $calls calls") { (calls in case.callsInMinute) shouldBe true }
            }
        }
    })
