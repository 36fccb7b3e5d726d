package org.endivestep.quota

import io.kotest.assertions.withClue
import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.doubles.shouldBeGreaterThanOrEqual
import io.kotest.matchers.doubles.shouldBeLessThanOrEqual
import io.kotest.matchers.ints.shouldBeLessThanOrEqual
import org.endivestep.document.TeamQuota
import org.endivestep.identity.TeamName

private val small = TeamName("small")
private val middle = TeamName("middle")
private val large = TeamName("large")
private val sample =
    mapOf(small to TeamQuota(2.0, 2.0), middle to TeamQuota(20.0, 20.0), large to TeamQuota(200.0, 200.0))

private const val WARM_UP_MS = 8_000L

private class Split(val name: String, val pick: (QuotaFleet) -> QuotaFleet.Node)

private val splits =
    listOf(
        Split("all daemons alike") { it.nodes[it.random.nextInt(it.count)] },
        Split("one daemon") { it.nodes[0] },
        Split("few daemons") { it.nodes[(it.random.nextDouble() * it.random.nextDouble() * it.count * 0.3).toInt()] },
    )

private val disturbances = listOf("loss", "delay", "stop", "suspend", "restart", "partition", "isolation", "stop of many")

/** Disturbs [fleet] at random until [untilMs]; returns what was done. */
private fun disturb(fleet: QuotaFleet, untilMs: Long): List<String> {
    val random = fleet.random
    val log = ArrayList<String>()
    var atMs = WARM_UP_MS
    while (atMs < untilMs) {
        val startMs = atMs
        val node = fleet.nodes[random.nextInt(fleet.count)]
        val kind = random.nextInt(disturbances.size)
        val lengthMs = 200 + random.nextLong(15_000)
        log += "$startMs: ${disturbances[kind]} $lengthMs"
        fleet.at(startMs) { begin(fleet, node, kind, lengthMs) }
        fleet.at(startMs + lengthMs) { end(fleet, node, kind) }
        atMs += 200 + random.nextLong(6_000)
    }
    return log
}

private fun begin(fleet: QuotaFleet, node: QuotaFleet.Node, kind: Int, lengthMs: Long) {
    val random = fleet.random
    when (kind) {
        0 -> fleet.links = Links(loss = random.nextDouble() * 0.5, duplicates = 0.1)
        1 -> fleet.links = Links(loss = 0.02, duplicates = 0.05, minDelayMs = 1, maxDelayMs = 20 + random.nextLong(900))
        2 -> fleet.pause(node, lengthMs, suspended = false)
        3 -> fleet.pause(node, lengthMs, suspended = true)
        4 -> node.up = false
        5 -> {
            val share = random.nextDouble()
            fleet.nodes.forEach { it.island = if (random.nextDouble() < share) 1 else 0 }
        }
        6 -> node.island = 2
        else -> fleet.nodes.forEach { if (random.nextInt(4) == 0) fleet.pause(it, lengthMs / 3, suspended = random.nextBoolean()) }
    }
}

private fun end(fleet: QuotaFleet, node: QuotaFleet.Node, kind: Int) {
    when (kind) {
        0, 1 -> fleet.links = Links()
        4 -> if (!node.up) node.restart()
        5 -> fleet.nodes.forEach { it.island = 0 }
        6 -> node.island = 0
    }
}

class QuotaModelTest :
    FunSpec({
        // Guards against owners or daemons that let more requests run than the limit allows, whatever fails.
        test("no team runs more than its bound in any span of 5 s") {
            listOf(1 to 12, 3 to 40, 10 to 30, 65 to 25, 300 to 4, 1_000 to 1).forEach { (count, seeds) ->
                val worst = HashMap<TeamName, Double>()
                (1L..seeds).forEach { seed ->
                    val fleet = QuotaFleet(seed, count, sample, givesBack = 0.05)
                    val endMs = 60_000L
                    val log = disturb(fleet, endMs - 10_000)
                    sample.forEach { (team, quota) ->
                        val split = splits[fleet.random.nextInt(splits.size)]
                        var factor = 2.0
                        (0L..endMs step 1_500).forEach { atMs ->
                            val next = listOf(0.02, 0.3, 0.9, 1.5, 3.0, 7.0)[fleet.random.nextInt(6)]
                            fleet.at(maxOf(atMs, fleet.nowMs)) { factor = next }
                        }
                        fleet.load(team, { quota.ratePerSecond * factor }, endMs) { split.pick(fleet) }
                    }
                    fleet.runUntil(endMs + 1_000)
                    sample.forEach { (team, quota) ->
                        val highest = highestInWindow(fleet.records.getValue(team).ranMs, 5_000)
                        worst.merge(team, highest / boundOf(quota), ::maxOf)
                        withClue("$count daemons, seed $seed, ${team.text}, of ${boundOf(quota)}, after $log") {
                            highest.toDouble() shouldBeLessThanOrEqual boundOf(quota)
                        }
                    }
                }
                println(
                    "quota bound: $count daemons, $seeds seeds, highest share of the bound ${worst.map {
                        "${it.key.text} %.2f".format(it.value)
                    }}",
                )
            }
        }

        // Guards against a lowered limit that owners or stores of tokens go on exceeding.
        test("a lowered limit binds one window after it is in force") {
            listOf(1, 3, 65).forEach { count ->
                (1L..5L).forEach { seed ->
                    val fleet = QuotaFleet(seed, count, sample)
                    sample.forEach { (team, quota) ->
                        fleet.load(team, { quota.ratePerSecond * 2 }, 40_000) { splits[0].pick(fleet) }
                    }
                    val lowered = sample.mapValues { TeamQuota(it.value.ratePerSecond / 2, it.value.burst / 4) }
                    fleet.nodes.forEach { node ->
                        fleet.at(20_000 + fleet.random.nextLong(2_500)) { fleet.changeQuotas(node, lowered) }
                    }
                    fleet.runUntil(40_000)
                    lowered.forEach { (team, quota) ->
                        val highest = highestInWindow(fleet.records.getValue(team).ranMs, 5_000, 27_500L..40_000L)
                        withClue("$count daemons, seed $seed, ${team.text}") { highest.toDouble() shouldBeLessThanOrEqual boundOf(quota) }
                    }
                }
            }
        }

        // Guards against tokens that are lost, held by daemons that do not need them, or not asked for in time.
        test("almost all of what the limit allows is granted in calm") {
            listOf(1, 3, 65, 300).forEach { count ->
                splits.forEach { split ->
                    val fleet = QuotaFleet(7, count, sample)
                    val endMs = WARM_UP_MS + 40_000
                    sample.forEach { (team, quota) -> fleet.load(team, { quota.ratePerSecond * 2 }, endMs) { split.pick(fleet) } }
                    fleet.runUntil(endMs)
                    val shares =
                        sample.map { (team, quota) ->
                            val ran = fleet.records.getValue(team).ranMs.count { it > WARM_UP_MS }
                            team.text to ran / (quota.ratePerSecond * 40)
                        }
                    val sent = fleet.records.values.sumOf { it.sent }
                    println(
                        "quota share: $count daemons, ${split.name}: ${shares.map { "${it.first} %.3f".format(it.second) }}, " +
                            "datagrams a request %.2f, ".format(fleet.datagrams.toDouble() / sent) +
                            "mean wait %.1f ms".format(fleet.records.values.sumOf { it.waitedMs }.toDouble() / sent),
                    )
                    shares.forEach { withClue("$count daemons, ${split.name}, ${it.first}") { it.second shouldBeGreaterThanOrEqual 0.97 } }
                }
            }
        }

        // Guards against service that is lost although the team keeps within its limit.
        test("demand below the limit is never refused in calm") {
            listOf(1, 3, 65, 300).forEach { count ->
                splits.forEach { split ->
                    val fleet = QuotaFleet(11, count, sample)
                    fleet.runUntil(WARM_UP_MS)
                    sample.forEach { (team, quota) ->
                        fleet.load(team, { quota.ratePerSecond * 0.9 }, WARM_UP_MS + 40_000, evenly = true) { split.pick(fleet) }
                    }
                    fleet.runUntil(WARM_UP_MS + 41_000)
                    sample.keys.forEach { team ->
                        val record = fleet.records.getValue(team)
                        withClue("$count daemons, ${split.name}, ${team.text}, ${record.sent} sent") {
                            record.refusedMs.size shouldBeLessThanOrEqual 0
                        }
                    }
                }
            }
        }

        // Guards against refusals of demand that comes at random, because the two owners' buckets together hold less than one would.
        test("demand at random intervals is refused no more often than by one bucket for all daemons") {
            listOf(1, 3, 65).forEach { count ->
                splits.forEach { split ->
                    val fleet = QuotaFleet(13, count, sample)
                    fleet.runUntil(WARM_UP_MS)
                    sample.forEach { (team, quota) ->
                        fleet.load(team, { quota.ratePerSecond * 0.8 }, WARM_UP_MS + 60_000) { split.pick(fleet) }
                    }
                    fleet.runUntil(WARM_UP_MS + 61_000)
                    sample.forEach { (team, quota) ->
                        val record = fleet.records.getValue(team)
                        val bucket = TokenBucket(0).apply { configure(quota.ratePerSecond, quota.burst, 0) }
                        val refusedByOne = (record.ranMs + record.refusedMs).sorted().count { bucket.take(1, it) == 0 }
                        withClue("$count daemons, ${split.name}, ${team.text}, ${record.sent} sent, one bucket refuses $refusedByOne") {
                            record.refusedMs.size shouldBeLessThanOrEqual refusedByOne
                        }
                    }
                }
            }
        }

        // Guards against the loss of a team's whole allowance with one of its owners.
        test("most of what the limit allows is granted while a tenth of the daemons is killed") {
            listOf(10, 65, 300).forEach { count ->
                val quotas = (1..20).associate {
                    TeamName("team-$it") to
                        TeamQuota(if (it % 2 == 0) 2.0 else 40.0, if (it % 2 == 0) 2.0 else 40.0)
                }
                val fleet = QuotaFleet(5, count, quotas)
                val endMs = WARM_UP_MS + 30_000
                quotas.forEach { (team, quota) -> fleet.load(team, { quota.ratePerSecond * 2 }, endMs) { splits[0].pick(fleet) } }
                fleet.runUntil(WARM_UP_MS)
                fleet.nodes.shuffled(java.util.Random(3)).take(maxOf(1, count / 10)).forEach { it.up = false }
                fleet.runUntil(endMs)
                val shares =
                    quotas.map { (team, quota) ->
                        fleet.records.getValue(team).ranMs.count { it > WARM_UP_MS } / (quota.ratePerSecond * 30)
                    }
                println("quota share: $count daemons, a tenth killed: mean %.3f, lowest team %.3f".format(shares.average(), shares.min()))
                shares.average() shouldBeGreaterThanOrEqual 0.8
            }
        }
    })
