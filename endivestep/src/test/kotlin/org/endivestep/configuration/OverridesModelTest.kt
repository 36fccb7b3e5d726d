package org.endivestep.configuration

import io.kotest.assertions.withClue
import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.shouldBe
import io.kotest.matchers.types.shouldBeInstanceOf
import io.kotest.property.Arb
import io.kotest.property.arbitrary.bind
import io.kotest.property.arbitrary.enum
import io.kotest.property.arbitrary.int
import io.kotest.property.arbitrary.list
import io.kotest.property.checkAll
import org.endivestep.document.DataCentreState
import org.endivestep.document.withDataCentreState
import org.endivestep.document.withValue
import org.endivestep.document.withoutSection
import org.endivestep.fakes.FakeStore
import org.endivestep.fakes.StoreCall
import org.endivestep.fakes.StoreFault
import org.endivestep.fakes.fuzz
import org.endivestep.fakes.sampleText
import org.endivestep.identity.ConfigurationVersion
import org.endivestep.identity.DataCentreName

private const val DAEMONS = 4
private const val CONVERGENCE_ROUNDS = 12

private enum class OverrideStep { SET_OUT, SET_IN, OTHER_CHANGE, WRITE, GOSSIP, WATCH, RESTART, STORE_DOWN, STORE_UP, APPLY_LATE_WRITES }

private data class OverrideAction(val step: OverrideStep, val who: Int, val other: Int, val fault: StoreFault)

private class Node(store: FakeStore, clock: () -> Long) {
    val overrides = Overrides(clock)
    val adoption = ConfigurationAdoption(onAdopted = overrides::adopted)
    val submission = ConfigurationSubmission(store, clock)
    val writer = OverrideWriter(overrides, submission, { true }) { adoption.offer(it) }

    /** Applies the effects of a gossip message from [peer]. */
    fun receiveGossip(peer: Node) {
        peer.adoption.active?.record?.let(adoption::offer)
        overrides.merge(peer.overrides.entries)
    }
}

/** Operators set data centres out of and back into service while the store fails and recovers. */
private class OverridesModel {
    private var fault = StoreFault.NONE
    private var storeIsDown = false
    private val store = FakeStore { if (storeIsDown) StoreFault.UNAVAILABLE else fault.also { fault = StoreFault.NONE } }
    private var nowMs = 1_000L
    private val nodes = Array(DAEMONS) { Node(store, ::nowMs) }
    private val requested = HashMap<DataCentreName, DataCentreState>()
    private var nextChange = 0

    init {
        nodes[0].submission.submit(Change("first", "anna", ConfigurationVersion(0), sampleText()))
        nodes.forEach(::watch)
    }

    fun apply(action: OverrideAction) {
        nowMs++
        val node = nodes[action.who % DAEMONS]
        fault = action.fault
        when (action.step) {
            OverrideStep.SET_OUT -> requestState(node, action.other, DataCentreState.OUT)
            OverrideStep.SET_IN -> requestState(node, action.other, DataCentreState.IN)
            OverrideStep.OTHER_CHANGE -> changeOther(node)
            OverrideStep.WRITE -> node.writer.writeNext()
            OverrideStep.GOSSIP -> node.receiveGossip(nodes[action.other % DAEMONS])
            OverrideStep.WATCH -> watch(node)
            OverrideStep.RESTART -> restart(action.who % DAEMONS, action.other % DAEMONS)
            OverrideStep.STORE_DOWN -> storeIsDown = true
            OverrideStep.STORE_UP -> storeIsDown = false
            OverrideStep.APPLY_LATE_WRITES -> store.applyLateWrites()
        }
        fault = StoreFault.NONE
    }

    /** After the store recovers and gossip converges, the last state requested for each data centre is in force and in the store. */
    fun finish() {
        storeIsDown = false
        store.applyLateWrites()
        repeat(CONVERGENCE_ROUNDS) {
            nodes.forEach { node -> nodes.forEach(node::receiveGossip) }
            nodes.forEach { it.writer.writeNext() }
            nodes.forEach(::watch)
        }
        nodes.forEachIndexed { index, node ->
            val written = checkNotNull(node.adoption.active).document
            requested.forEach { (dataCentre, state) ->
                withClue("daemon $index, ${dataCentre.text} in force") {
                    node.overrides.document?.dataCentres?.get(dataCentre)?.state shouldBe
                        state
                }
                withClue("daemon $index, ${dataCentre.text} in the store") { written.dataCentres.getValue(dataCentre).state shouldBe state }
            }
            withClue("overrides left at daemon $index") { node.overrides.entries shouldBe emptyList() }
        }
    }

    // An operator sees the state of the whole fleet, so each request is ordered after the earlier ones.
    private fun requestState(node: Node, which: Int, state: DataCentreState) {
        nodes.forEach(node::receiveGossip)
        val dataCentre = DataCentreName(if (which % 2 == 0) "haarlem" else "katwijk")
        node.overrides.requestState(dataCentre, state, "change-${nextChange++}", "operator")
        requested[dataCentre] = state
        node.overrides.document?.dataCentres?.get(dataCentre)?.state shouldBe state
    }

    private fun changeOther(node: Node) {
        val record = checkNotNull(node.adoption.active).record
        val text = withValue(record.document, "service voorraad", "max-attempts", "${2 + nextChange % 3}")
        val result = node.submission.submit(Change("change-${nextChange++}", "operator", ConfigurationVersion(record.version), text))
        if (result is SubmissionResult.Accepted) node.adoption.offer(result.record)
    }

    private fun watch(node: Node) {
        if (storeIsDown) return
        store.peek(configurationKey)?.let(::parseRecord)?.let(node.adoption::offer)
    }

    // A daemon that starts receives the configuration and the overrides from a peer.
    private fun restart(who: Int, peer: Int) {
        if (who == peer) return
        nodes[peer].receiveGossip(nodes[who])
        nodes[who] = Node(store, ::nowMs).also { it.receiveGossip(nodes[peer]) }
    }
}

private val katwijk = DataCentreName("katwijk")

private fun startedNodes(store: FakeStore): List<Node> {
    val nodes = List(2) { Node(store) { 1 } }
    nodes[0].submission.submit(Change("first", "anna", ConfigurationVersion(0), sampleText()))
    nodes.forEach { node -> node.adoption.offer(checkNotNull(parseRecord(checkNotNull(store.peek(configurationKey))))) }
    return nodes
}

private val actions: Arb<OverrideAction> =
    Arb.bind(Arb.enum<OverrideStep>(), Arb.int(0..11), Arb.int(0..11), Arb.enum<StoreFault>(), ::OverrideAction)

class OverridesModelTest :
    FunSpec({
        test("the last state requested for a data centre is in force at once and is eventually written to the store") {
            checkAll(fuzz(), Arb.list(actions, 1..40)) { sequence ->
                val model = OverridesModel()
                sequence.forEach(model::apply)
                model.finish()
            }
        }

        test("an override is removed by the configuration that confirms it, and a stale peer cannot restore it") {
            val store = FakeStore()
            val (node, other) = startedNodes(store)
            node.overrides.requestState(katwijk, DataCentreState.OUT, "drain", "anna")
            val stale = node.overrides.entries
            node.writer.writeNext()
            node.overrides.entries shouldBe emptyList()
            node.overrides.requestState(katwijk, DataCentreState.IN, "restore", "anna")
            node.writer.writeNext()
            other.adoption.offer(checkNotNull(node.adoption.active).record)
            other.overrides.merge(stale)
            other.overrides.entries shouldBe emptyList()
            other.overrides.document?.isIn(katwijk) shouldBe true
        }

        test("an override whose first write took effect late is not written twice") {
            val store = FakeStore()
            val (node) = startedNodes(store)
            val text = withDataCentreState(sampleText(), "katwijk", DataCentreState.OUT)
            store.fault = { if (it == StoreCall.REPLACE) StoreFault.LATE_WRITE else StoreFault.NONE }
            node.submission.submit(Change("drain", "anna", ConfigurationVersion(1), text)).shouldBeInstanceOf<SubmissionResult.Pending>()
            node.overrides.requestState(katwijk, DataCentreState.OUT, "drain", "anna")
            store.applyLateWrites()
            node.adoption.offer(checkNotNull(parseRecord(checkNotNull(store.peek(configurationKey)))))
            node.overrides.nextChange() shouldBe null
            node.overrides.document?.isIn(katwijk) shouldBe false
        }

        test("an override of a data centre that is removed from the document is dropped") {
            val (node) = startedNodes(FakeStore())
            node.overrides.requestState(katwijk, DataCentreState.OUT, "drain", "anna")
            val text = withoutSection(sampleText(), "data-centre katwijk")
            val result = node.submission.submit(Change("remove", "berthe", ConfigurationVersion(1), text))
            node.adoption.offer((result as SubmissionResult.Accepted).record)
            node.overrides.nextChange() shouldBe null
        }
    })
