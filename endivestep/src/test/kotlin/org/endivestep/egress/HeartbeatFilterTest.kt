package org.endivestep.egress

import io.kotest.assertions.withClue
import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.shouldBe
import org.endivestep.identity.ServiceName
import org.endivestep.identity.WorkerIncarnation

private const val NOW_MS = 1_000L

private fun heartbeat(id: String, startedMs: Long, sequence: Long, leaves: Boolean = false) =
    WorkerHeartbeat(
        incarnation = WorkerIncarnation(id),
        service = ServiceName("s").takeIf { !leaves },
        startedMs = startedMs,
        sequence = if (leaves) Long.MAX_VALUE else sequence,
        slots = 4,
        coldMs = 0,
        leaving = leaves,
    )

class HeartbeatFilterTest :
    FunSpec({
        class Case(val name: String, val first: WorkerHeartbeat, val second: WorkerHeartbeat, val isNewer: Boolean)
        test("a late heartbeat of the same run, or of an earlier run, is discarded") {
            listOf(
                Case("the next heartbeat of the run", heartbeat("a", 10, 1), heartbeat("a", 10, 2), true),
                Case("a duplicate", heartbeat("a", 10, 2), heartbeat("a", 10, 2), false),
                Case("a late heartbeat of the run", heartbeat("a", 10, 2), heartbeat("a", 10, 1), false),
                Case("a later run of the same id", heartbeat("a", 10, 9), heartbeat("a", 20, 1), true),
                Case("an earlier run of the same id", heartbeat("a", 20, 1), heartbeat("a", 10, 9), false),
                Case("another worker that started later", heartbeat("a", 10, 9), heartbeat("b", 20, 1), true),
                Case("another worker that started earlier", heartbeat("b", 20, 1), heartbeat("a", 10, 9), false),
                Case("its leave message", heartbeat("a", 10, 9), heartbeat("a", 0, 0, leaves = true), true),
                Case("the leave message of another worker", heartbeat("b", 20, 1), heartbeat("a", 0, 0, leaves = true), false),
                Case("a heartbeat after its leave message", heartbeat("a", 10, 0, leaves = true), heartbeat("a", 10, 10), false),
                Case(
                    "a late heartbeat after a leave message without a start",
                    heartbeat("a", 0, 0, leaves = true),
                    heartbeat("a", 10, 9),
                    false,
                ),
                Case(
                    "a later run after a leave message without a start",
                    heartbeat("a", 0, 0, leaves = true),
                    heartbeat("a", 1_001, 1),
                    true,
                ),
                Case(
                    "another worker after a leave message without a start",
                    heartbeat("a", 0, 0, leaves = true),
                    heartbeat("b", 10, 1),
                    true,
                ),
                Case(
                    "the leave message of a later run",
                    heartbeat("a", 0, 0, leaves = true),
                    heartbeat("a", 1_001, 0, leaves = true),
                    true,
                ),
            ).forEach { case ->
                val filter = HeartbeatFilter { NOW_MS }
                filter.isNewer(case.first) shouldBe true
                withClue(case.name) { filter.isNewer(case.second) shouldBe case.isNewer }
            }
        }

        // Guards against a worker that is ignored for good, because its VM's clock was ahead when an earlier run of its id left.
        test("a run that seems to have started before a leave message without a start is used after a while") {
            var nowMs = NOW_MS
            val filter = HeartbeatFilter { nowMs }
            filter.isNewer(heartbeat("a", 0, 0, leaves = true)) shouldBe true
            filter.isNewer(heartbeat("a", 10, 1)) shouldBe false
            nowMs += 10_001
            filter.isNewer(heartbeat("a", 10, 8)) shouldBe true
        }
    })
