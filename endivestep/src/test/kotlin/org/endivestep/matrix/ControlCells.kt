package org.endivestep.matrix

import io.kotest.matchers.shouldBe
import io.kotest.matchers.types.shouldBeInstanceOf
import org.endivestep.configuration.Adoption
import org.endivestep.configuration.Change
import org.endivestep.configuration.ConfigurationAdoption
import org.endivestep.configuration.ConfigurationSubmission
import org.endivestep.configuration.SubmissionResult
import org.endivestep.fakes.FakeStore
import org.endivestep.fakes.StoreFault
import org.endivestep.fakes.sampleText
import org.endivestep.identity.ConfigurationVersion
import org.endivestep.identity.VmName
import org.endivestep.membership.SharedTask
import org.endivestep.membership.assignedMembers
import org.endivestep.protocol.v1.ConfigurationRecord

private class OperatorFixture {
    val faults = ArrayDeque<StoreFault>()
    val store = FakeStore { faults.removeFirstOrNull() ?: StoreFault.NONE }
    val submission = ConfigurationSubmission(store) { 0 }

    fun change(id: String, base: Long, limitMax: Int = 20) = Change(id, "anna", ConfigurationVersion(base), sampleText(limitMax = limitMax))

    /** Submits a change; [callFaults] apply to the write and the calls after it, not to the read before it. */
    fun submitWith(vararg callFaults: StoreFault): SubmissionResult {
        faults += StoreFault.NONE
        faults += callFaults
        return submission.submit(change("one", 0)).also { faults.clear() }
    }
}

private fun accepted(result: SubmissionResult): ConfigurationRecord = (result as SubmissionResult.Accepted).record

private fun recordOf(version: Long, change: String = "c$version"): ConfigurationRecord {
    val builder = ConfigurationRecord.newBuilder().setVersion(version).setDocument(sampleText(limitMax = 2 + version.toInt()))
    return builder.apply { changeBuilder.changeId = change }.build()
}

private const val NO_REQUEST = "no request or worker is involved in this step"

internal val configurationWrite =
    StepCells().apply {
        check(Fault.STORE_UNAVAILABLE) {
            val fixture = OperatorFixture()
            fixture.submitWith(StoreFault.UNAVAILABLE, StoreFault.UNAVAILABLE).shouldBeInstanceOf<SubmissionResult.Pending>()
        }
        check(Fault.STORE_ANSWER_LOST) { accepted(OperatorFixture().submitWith(StoreFault.LOST_ANSWER)).version shouldBe 1 }
        listOf(Fault.STORE_SLOW, Fault.DELAY).forEach { fault ->
            check(fault) {
                val fixture = OperatorFixture()
                fixture.submitWith(StoreFault.LATE_WRITE).shouldBeInstanceOf<SubmissionResult.Pending>()
                fixture.store.applyLateWrites()
                accepted(fixture.submission.check(fixture.change("one", 0))).version shouldBe 1
            }
        }
        listOf(Fault.KILL, Fault.LOST_ANSWER, Fault.CUT).forEach { fault ->
            check(fault) {
                val fixture = OperatorFixture()
                fixture.submitWith(StoreFault.LOST_ANSWER, StoreFault.UNAVAILABLE).shouldBeInstanceOf<SubmissionResult.Pending>()
                val otherDaemon = ConfigurationSubmission(fixture.store) { 0 }
                accepted(otherDaemon.check(fixture.change("one", 0))).version shouldBe 1
            }
        }
        check(Fault.DUPLICATE) {
            val fixture = OperatorFixture()
            accepted(fixture.submission.submit(fixture.change("one", 0))).version shouldBe 1
            accepted(fixture.submission.submit(fixture.change("one", 0))).version shouldBe 1
        }
        listOf(Fault.RACING_OPERATORS, Fault.SUSPEND_AND_RESUME).forEach { fault ->
            check(fault) {
                val fixture = OperatorFixture()
                accepted(fixture.submission.submit(fixture.change("one", 0))).version shouldBe 1
                fixture.submission.submit(fixture.change("two", 0, limitMax = 9)).shouldBeInstanceOf<SubmissionResult.LostRace>()
                fixture.submission.check(fixture.change("two", 0, limitMax = 9)).shouldBeInstanceOf<SubmissionResult.LostRace>()
            }
        }
        notApplicable("the store client reports it as a lost answer", Fault.SILENT_CONNECTION)
        notApplicable("a connection to the store carries one exchange at a time, so answers cannot be mixed up", Fault.MISMATCHED_ANSWER)
        notApplicable(NO_REQUEST, Fault.WORKER_COLD, Fault.WORKER_SLOW, Fault.WORKER_CRASH, Fault.DRAIN)
    }

internal val configurationRelay =
    StepCells().apply {
        listOf(Fault.DUPLICATE, Fault.DELAY, Fault.MISMATCHED_ANSWER).forEach { fault ->
            check(fault) {
                val daemon = ConfigurationAdoption()
                daemon.offer(recordOf(2)).shouldBeInstanceOf<Adoption.Adopted>()
                daemon.offer(recordOf(2)) shouldBe Adoption.NotNewer
                daemon.offer(recordOf(1)) shouldBe Adoption.NotNewer
                daemon.version.number shouldBe 2
            }
        }
        check(Fault.RACING_OPERATORS) {
            val daemon = ConfigurationAdoption()
            daemon.offer(recordOf(2, "one"))
            daemon.offer(recordOf(2, "other")) shouldBe Adoption.Conflicting
            checkNotNull(daemon.active).record.change.changeId shouldBe "one"
        }
        check(Fault.KILL) {
            val vms = (1..5).map { VmName("vm-$it") }
            val failed = assignedMembers(vms, SharedTask.CONFIGURATION_WATCH, 2)
            val replacements = assignedMembers(vms - failed.toSet(), SharedTask.CONFIGURATION_WATCH, 2)
            replacements.size shouldBe 2
            replacements.any { it in failed } shouldBe false
        }
        listOf(Fault.STORE_UNAVAILABLE, Fault.SUSPEND_AND_RESUME).forEach { fault ->
            check(fault) {
                val upToDate = ConfigurationAdoption().apply { offer(recordOf(4)) }
                val restarted = ConfigurationAdoption()
                restarted.offer(recordOf(3))
                restarted.offer(checkNotNull(upToDate.active).record).shouldBeInstanceOf<Adoption.Adopted>()
                restarted.version.number shouldBe 4
            }
        }
        notApplicable(
            "each message carries the sender's version, so a lost record is requested again",
            Fault.CUT,
            Fault.SILENT_CONNECTION,
            Fault.LOST_ANSWER,
        )
        notApplicable("a watch call that is late or lost is repeated", Fault.STORE_SLOW, Fault.STORE_ANSWER_LOST)
        notApplicable(NO_REQUEST, Fault.WORKER_COLD, Fault.WORKER_SLOW, Fault.WORKER_CRASH, Fault.DRAIN)
    }

internal val gossipStep =
    StepCells().apply {
        notApplicable(
            "covered by the random sequences in GossipModelTest",
            Fault.KILL,
            Fault.SUSPEND_AND_RESUME,
            Fault.CUT,
            Fault.SILENT_CONNECTION,
            Fault.DELAY,
            Fault.LOST_ANSWER,
            Fault.DUPLICATE,
        )
        notApplicable("each datagram is signed and independent of the others", Fault.MISMATCHED_ANSWER)
        notApplicable("gossip does not call the store", Fault.STORE_UNAVAILABLE, Fault.STORE_SLOW, Fault.STORE_ANSWER_LOST)
        notApplicable(
            "requests do not wait for gossip: the egress decides whether they run",
            Fault.WORKER_COLD,
            Fault.WORKER_SLOW,
            Fault.WORKER_CRASH,
            Fault.DRAIN,
        )
        notApplicable("the store serialises the changes of operators", Fault.RACING_OPERATORS)
    }
