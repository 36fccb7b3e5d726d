package org.endivestep.matrix

import io.kotest.assertions.withClue
import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.booleans.shouldBeTrue
import io.kotest.matchers.collections.shouldContain
import io.kotest.matchers.ints.shouldBeLessThanOrEqual
import io.kotest.matchers.shouldBe
import org.endivestep.configuration.Change
import org.endivestep.configuration.ConfigurationAdoption
import org.endivestep.configuration.ConfigurationSubmission
import org.endivestep.configuration.SubmissionResult
import org.endivestep.configuration.configurationKey
import org.endivestep.configuration.parseRecord
import org.endivestep.fakes.FakeStore
import org.endivestep.fakes.StoreCall
import org.endivestep.fakes.StoreFault
import org.endivestep.fakes.sampleText
import org.endivestep.identity.ConfigurationVersion
import org.endivestep.protocol.v1.ConfigurationRecord

/** Store faults of one submission: at its write, and at the reads after it. */
private enum class WriteFault(val write: StoreFault, val read: StoreFault) {
    NONE(StoreFault.NONE, StoreFault.NONE),
    UNAVAILABLE(StoreFault.UNAVAILABLE, StoreFault.UNAVAILABLE),
    UNAVAILABLE_DURING_WRITE(StoreFault.UNAVAILABLE, StoreFault.NONE),
    ANSWER_LOST(StoreFault.LOST_ANSWER, StoreFault.NONE),
    ANSWER_LOST_THEN_UNAVAILABLE(StoreFault.LOST_ANSWER, StoreFault.UNAVAILABLE),
    LATE(StoreFault.LATE_WRITE, StoreFault.NONE),
}

/** Sequences in which a daemon may receive the records of versions 1 to 3 from its peers. */
private enum class RelayFault(val versions: List<Int>) {
    IN_ORDER(listOf(1, 2, 3)),
    REVERSED(listOf(3, 2, 1)),
    REPEATED(listOf(1, 1, 2, 2, 3, 3)),
    OLD_AFTER_NEW(listOf(2, 1, 3, 1)),
    NEWEST_ONLY(listOf(3)),
}

private class SubmissionFixture {
    private var fault = WriteFault.NONE
    private var written = false
    val store = FakeStore(::nextFault)
    val submission = ConfigurationSubmission(store) { 0 }
    val records = ArrayList<ConfigurationRecord>()

    fun submit(change: Change, writeFault: WriteFault): SubmissionResult {
        fault = writeFault
        written = false
        return submission.submit(change).also {
            fault = WriteFault.NONE
            collect()
        }
    }

    /** Collects the record that the store holds, as a daemon that watches the configuration does. */
    fun collect() {
        val record = store.peek(configurationKey)?.let(::parseRecord) ?: return
        if (records.none { it.version == record.version }) records += record
    }

    private fun nextFault(call: StoreCall): StoreFault {
        if (call == StoreCall.READ) return if (written) fault.read else StoreFault.NONE
        written = true
        return fault.write
    }
}

private fun changeOf(operator: String, base: Long) =
    Change("of-$operator", operator, ConfigurationVersion(base), sampleText(limitMax = 10 + operator.length))

private fun acceptedVersion(result: SubmissionResult): Long? = (result as? SubmissionResult.Accepted)?.record?.version

/** Two operators submit changes based on the same version; each submission meets a fault. */
private fun checkRace(first: WriteFault, second: WriteFault) {
    val fixture = SubmissionFixture()
    acceptedVersion(fixture.submit(changeOf("zoe", 0), WriteFault.NONE)) shouldBe 1L
    val changes = listOf(changeOf("anna", 1), changeOf("berthe", 1))
    val submitted = listOf(fixture.submit(changes[0], first), fixture.submit(changes[1], second))
    fixture.store.applyLateWrites()
    fixture.collect()
    val checked = changes.map(fixture.submission::check)
    withClue("accepted on submission: ${submitted.map(::acceptedVersion)}, on a later check: ${checked.map(::acceptedVersion)}") {
        checked.count { it is SubmissionResult.Accepted } shouldBeLessThanOrEqual 1
        submitted.zip(checked).forEach { (before, after) ->
            if (before is SubmissionResult.Accepted) acceptedVersion(after) shouldBe before.record.version
            if (before is SubmissionResult.LostRace) (after is SubmissionResult.LostRace).shouldBeTrue()
        }
        // When version 2 was written, the check tells exactly one operator that the race was lost.
        if (newestVersion(fixture) == 2L) checked.count { it is SubmissionResult.LostRace } shouldBe 1
    }
}

private fun newestVersion(fixture: SubmissionFixture): Long = fixture.records.maxOf { it.version }

/** Submits three changes, the second under the fault [write]; a daemon receives the records in the sequence of [relay]. */
private fun checkRelay(write: WriteFault, relay: RelayFault) {
    val fixture = SubmissionFixture()
    fixture.submit(changeOf("anna", 0), WriteFault.NONE)
    val second = changeOf("berthe", 1)
    if (acceptedVersion(fixture.submit(second, write)) == null) {
        fixture.store.applyLateWrites()
        fixture.collect()
        // The operator checks the result, and submits the same change again when it was never written.
        if (acceptedVersion(fixture.submission.check(second)) == null) fixture.submit(second, WriteFault.NONE)
    }
    acceptedVersion(fixture.submit(changeOf("carolina", 2), WriteFault.NONE)) shouldBe 3L
    val daemon = ConfigurationAdoption()
    relay.versions.forEach { version ->
        val before = daemon.version
        daemon.offer(fixture.records.first { it.version == version.toLong() })
        (daemon.version >= before).shouldBeTrue()
    }
    daemon.version.number shouldBe 3
    fixture.records.map { it.change.operator } shouldContain "berthe"
}

class ConfigurationPairsTest :
    FunSpec({
        test("of two concurrent changes to the same version, each under every fault, at most one is accepted") {
            for (first in WriteFault.entries) {
                for (second in WriteFault.entries) {
                    withClue("first submission: $first, second submission: $second") { checkRace(first, second) }
                }
            }
        }

        test("after every write fault combined with every relay fault, the daemon has the newest version") {
            for (write in WriteFault.entries) {
                for (relay in RelayFault.entries) {
                    withClue("write: $write, relay: $relay") { checkRelay(write, relay) }
                }
            }
        }
    })
