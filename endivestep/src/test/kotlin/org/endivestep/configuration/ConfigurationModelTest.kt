package org.endivestep.configuration

import io.kotest.assertions.withClue
import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.booleans.shouldBeTrue
import io.kotest.matchers.collections.shouldNotContain
import io.kotest.matchers.shouldBe
import io.kotest.property.Arb
import io.kotest.property.arbitrary.bind
import io.kotest.property.arbitrary.enum
import io.kotest.property.arbitrary.int
import io.kotest.property.arbitrary.list
import io.kotest.property.checkAll
import org.endivestep.fakes.FakeStore
import org.endivestep.fakes.StoreFault
import org.endivestep.fakes.fuzz
import org.endivestep.fakes.sampleText
import org.endivestep.identity.ConfigurationVersion
import org.endivestep.store.ReadResult

private const val DAEMONS = 4
private const val OPERATORS = 3

private enum class Step { READ, SUBMIT, CHECK, WATCH, FETCH_FROM_PEER, RESTART, APPLY_LATE_WRITES }

private data class Action(val step: Step, val who: Int, val other: Int, val faults: List<StoreFault>)

/** Operators submit changes concurrently to a faulty store while daemons watch it, fetch from one another and restart. */
private class ConfigurationModel {
    private var faults = ArrayDeque<StoreFault>()
    private val store = FakeStore { faults.removeFirstOrNull() ?: StoreFault.NONE }
    private val submission = ConfigurationSubmission(store) { 0 }
    private val daemons = Array(DAEMONS) { ConfigurationAdoption() }
    private val seen = Array(OPERATORS) { ConfigurationVersion(0) }
    private val open = arrayOfNulls<Change>(OPERATORS)
    private val accepted = HashMap<Long, String>()
    private val lost = HashSet<String>()
    private var nextChange = 0

    fun apply(action: Action) {
        faults = ArrayDeque(action.faults)
        val who = action.who
        when (action.step) {
            Step.READ -> seen[who % OPERATORS] = ConfigurationVersion(stored()?.version ?: 0)
            Step.SUBMIT -> submit(who % OPERATORS)
            Step.CHECK -> open[who % OPERATORS]?.let { verify(who % OPERATORS, it, submission.check(it)) }
            Step.WATCH -> (store.get(configurationKey) as? ReadResult.Found)?.let { offer(who, parseRecord(it.stored.bytes)) }
            Step.FETCH_FROM_PEER -> offer(who, daemons[action.other % DAEMONS].active?.record)
            Step.RESTART -> daemons[who % DAEMONS] = ConfigurationAdoption()
            Step.APPLY_LATE_WRITES -> store.applyLateWrites()
        }
        faults.clear()
    }

    /** Applies the delayed writes and checks the invariants of the final state. */
    fun finish() {
        store.applyLateWrites()
        val trail = trail()
        accepted.forEach { (version, change) -> withClue("accepted version $version") { trail[version] shouldBe change } }
        lost.forEach { trail.values.shouldNotContain(it) }
        daemons.forEach { daemon ->
            parseRecord(store.peek(configurationKey) ?: ByteArray(0))?.let(daemon::offer)
            daemon.version.number shouldBe (stored()?.version ?: 0)
        }
    }

    private fun submit(who: Int) {
        val change = Change("change-${nextChange++}", "operator-$who", seen[who], sampleText(limitMax = 2 + nextChange))
        open[who] = change
        verify(who, change, submission.submit(change))
    }

    private fun verify(who: Int, change: Change, result: SubmissionResult) {
        when (result) {
            is SubmissionResult.Accepted -> {
                val before = accepted.put(result.record.version, change.changeId)
                withClue("two changes accepted as ${result.record.version}") { (before ?: change.changeId) shouldBe change.changeId }
                result.record.version shouldBe change.base.next().number
            }
            is SubmissionResult.LostRace -> lost += change.changeId
            is SubmissionResult.Pending -> Unit
            is SubmissionResult.Refused -> error("the sample document is valid")
        }
        if (result !is SubmissionResult.Pending) open[who] = null
    }

    private fun offer(who: Int, record: org.endivestep.protocol.v1.ConfigurationRecord?) {
        if (record == null) return
        val daemon = daemons[who % DAEMONS]
        val before = daemon.version
        daemon.offer(record)
        withClue("a daemon moved to a lower version") { (daemon.version >= before).shouldBeTrue() }
    }

    private fun stored() = store.peek(configurationKey)?.let(::parseRecord)

    private fun trail(): Map<Long, String> {
        val current = stored() ?: return emptyMap()
        val earlier =
            (1 until current.version).associateWith { version ->
                val bytes = checkNotNull(store.peek(auditKey(ConfigurationVersion(version)))) { "audit entry $version is missing" }
                checkNotNull(parseEntry(bytes)).changeId
            }
        return earlier + (current.version to current.change.changeId)
    }
}

private val actions: Arb<Action> =
    Arb.bind(Arb.enum<Step>(), Arb.int(0..11), Arb.int(0..11), Arb.list(Arb.enum<StoreFault>(), 0..5), ::Action)

class ConfigurationModelTest :
    FunSpec({
        test("accepted changes form one chain and no daemon moves to a lower version") {
            checkAll(fuzz(), Arb.list(actions, 1..60)) { sequence ->
                val model = ConfigurationModel()
                sequence.forEach(model::apply)
                model.finish()
            }
        }
    })
