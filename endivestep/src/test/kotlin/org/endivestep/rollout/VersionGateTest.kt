package org.endivestep.rollout

import io.kotest.assertions.withClue
import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.shouldBe
import org.endivestep.identity.WorkerVersion
import org.endivestep.store.StoreRevision

private fun entry(state: RolloutState?, share: Int = 0, revision: Long = 2, target: WorkerVersion = newVersion) =
    RolloutEntry(
        RolloutOrder(simulatedService, target, ORDER_MS),
        state?.let { RolloutStatus(it, target, share) },
        StoreRevision(revision),
    )

private class Fixture {
    var nowMs = 100_000L
    val table = RolloutTable({ nowMs }, { nowMs })
    val gate = VersionGate(table) { nowMs }

    fun permitted(): String = listOf(oldVersion, newVersion, null).filter { gate.permits(simulatedService, it) }.joinToString {
        it?.text
            ?: "?"
    }
}

class VersionGateTest :
    FunSpec({
        // Guards against a request that runs on a version that nothing permits, and against refusals where no roll-out exists.
        test("which versions the daemon beside a worker permits") {
            class Case(val name: String, val expected: String, val prepare: Fixture.() -> Unit)

            fun Fixture.running(share: Int, confirmed: RolloutEntry?, ageMs: Long = 0) {
                table.markKnown()
                table.update(entry(RolloutState.RUNNING, share), fromStore = true)
                confirmed?.let { gate.confirm(Confirmation(it, nowMs - ageMs)) }
            }
            val five = entry(RolloutState.RUNNING, 5)
            listOf(
                Case("roll-outs not read yet", "") { },
                Case("no roll-out", "v1, v2, ?") { table.markKnown() },
                Case("ordered", "v1") {
                    table.markKnown()
                    table.update(entry(null), fromStore = true)
                },
                Case("running, not confirmed", "v1") { running(5, null) },
                Case("running and confirmed", "v1, v2") { running(5, five) },
                Case("confirmed almost 2 s ago", "v1, v2") { running(5, five, 1_999) },
                Case("confirmed 2 s ago", "v1") { running(5, five, 2_000) },
                Case("confirmed with a share of 0", "v1") { running(5, entry(RolloutState.RUNNING, 0, revision = 1)) },
                Case("confirmed by a decider that knows an earlier step", "v1") {
                    running(5, entry(RolloutState.RUNNING, 4, revision = 1))
                },
                Case("halted by a decider that cannot write", "v1") {
                    running(5, five)
                    gate.confirm(Confirmation(entry(RolloutState.RUNNING, 0), nowMs))
                },
                Case("all requests", "v2") { running(100, entry(RolloutState.RUNNING, 100)) },
                Case("all requests, not confirmed", "") { running(100, null) },
                Case("all requests, halted", "v1") {
                    running(100, entry(RolloutState.RUNNING, 100))
                    gate.confirm(Confirmation(entry(RolloutState.RUNNING, 0), nowMs))
                },
                Case("complete", "v2") {
                    table.markKnown()
                    table.update(entry(RolloutState.COMPLETE, 100), fromStore = true)
                },
                Case("reverted, after a confirmation", "v1") {
                    running(5, five)
                    table.update(entry(RolloutState.REVERTED, 0, revision = 3), fromStore = true)
                },
                Case("replaced by another target", "v1") {
                    running(5, five)
                    table.update(entry(null, revision = 3, target = thirdVersion), fromStore = true)
                },
                Case("removed while running", "v1, v2, ?") {
                    running(5, five)
                    table.remove(simulatedService, StoreRevision(3))
                },
                Case("removed after it was reverted", "v1") {
                    running(5, five)
                    table.update(entry(RolloutState.REVERTED, 0, revision = 3), fromStore = true)
                    table.remove(simulatedService, StoreRevision(4))
                },
                Case("removed after it was reverted, and its workers are gone", "v1, v2, ?") {
                    running(5, five)
                    table.update(entry(RolloutState.REVERTED, 0, revision = 3), fromStore = true)
                    table.remove(simulatedService, StoreRevision(4))
                    table.forgetExcluded(simulatedService, setOf(oldVersion))
                },
                Case("a late event of the store after the removal", "v1, v2, ?") {
                    running(5, five)
                    table.remove(simulatedService, StoreRevision(4))
                    table.update(entry(RolloutState.REVERTED, 0, revision = 3), fromStore = true)
                },
            ).forEach { case ->
                val fixture = Fixture()
                case.prepare(fixture)
                withClue(case.name) { fixture.permitted() shouldBe case.expected }
            }
        }

        // Guards against a share that is not kept and against requests that go to the new version because no old worker is left to try.
        test("the version is chosen before the load") {
            class Case(
                val name: String,
                val share: Int,
                val workers: String,
                val refused: Set<WorkerVersion?>,
                val draw: Double,
                val expected: String,
            )
            listOf(
                Case("a draw within the share", 5, "o1 o2 n1 n2", emptySet(), 0.04, "n1 n2"),
                Case("a draw above the share", 5, "o1 o2 n1 n2", emptySet(), 0.06, "o1 o2"),
                Case("no new worker", 5, "o1 o2", emptySet(), 0.04, "o1 o2"),
                Case("no old worker", 5, "n1 n2", emptySet(), 0.06, ""),
                Case("the new version was refused", 5, "o1 n1", setOf(newVersion), 0.04, "o1"),
                Case("the old version was refused", 5, "o1 n1", setOf(oldVersion), 0.06, "n1"),
                Case("share 0", 0, "o1 n1", emptySet(), 0.0, "o1"),
                Case("share 100", 100, "o1 n1", emptySet(), 0.99, "n1"),
                Case("share 100 without a new worker", 100, "o1", emptySet(), 0.99, "o1"),
            ).forEach { case ->
                val table = RolloutTable({ 0 }, { 0 })
                table.update(entry(RolloutState.RUNNING, case.share), fromStore = true)
                val workers = case.workers.split(' ').filter { it.isNotEmpty() }
                val chosen =
                    VersionChoice(table) { case.draw }
                        .select(simulatedService, workers, case.refused, { if (it.startsWith("n")) newVersion else oldVersion }, { it })
                withClue(case.name) { chosen.joinToString(" ") shouldBe case.expected }
            }
        }

        // Guards against an old confirmation that counts as new because the VM was suspended.
        test("the time of a suspension counts") {
            var monotonic = 0L
            var timeOfDay = 1_000_000L
            val clock = SuspensionClock({ monotonic }, { timeOfDay })
            clock.nowMs() shouldBe 0
            monotonic += 10
            timeOfDay += 5_010
            clock.nowMs() shouldBe 5_010
            timeOfDay -= 60_000
            monotonic += 10
            clock.nowMs() shouldBe 5_020
        }
    })
