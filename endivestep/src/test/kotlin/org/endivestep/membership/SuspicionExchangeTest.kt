package org.endivestep.membership

import io.kotest.assertions.withClue
import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.shouldBe
import org.endivestep.configuration.noPosition
import org.endivestep.fakes.EgressFixture
import org.endivestep.fakes.answering
import org.endivestep.identity.DataCentreName
import org.endivestep.identity.Fingerprint
import org.endivestep.identity.VmName
import org.endivestep.identity.WorkerRunId
import org.endivestep.quarantine.SuspicionEntry
import org.endivestep.settings.Address
import java.util.SplittableRandom

private const val REMAINING_MS = 50_000L

private fun entry(name: String, vararg deaths: String) =
    SuspicionEntry(Fingerprint(name), deaths.map(::WorkerRunId).toSet(), REMAINING_MS, lone = false)

private fun member(name: String, run: Long) =
    MemberInfo(
        vm = VmName(name),
        inner = Address("127.0.0.1", 7_000 + name.last().digitToInt()),
        adminPort = 0,
        dataCentre = DataCentreName("haarlem"),
        incarnation = newDaemonIncarnation(run, "run"),
        sequence = 1,
        state = MemberState.ALIVE,
        worker = null,
    )

private fun protocol(self: MemberInfo, known: List<SuspicionEntry> = emptyList()) =
    GossipProtocol(self, SplittableRandom(1), knownSuspicions = { known }) { noPosition }

private fun sent(actions: List<GossipAction>): List<GossipMessage> = actions.filterIsInstance<GossipAction.Send>().map { it.message }

class SuspicionExchangeTest :
    FunSpec({
        // Guards against a restarted daemon that knows no quarantine and lets a request through that crashes its worker.
        test("a daemon that starts is sent the suspicions of the daemons to which it announces itself") {
            class Case(val name: String, val runs: List<Long>, val entries: Int, val sentToLast: Int)
            listOf(
                Case("first start", listOf(1), entries = 2, sentToLast = 2),
                Case("another message of the same run", listOf(1, 1), entries = 2, sentToLast = 0),
                Case("restarted", listOf(1, 2), entries = 2, sentToLast = 2),
                Case("more than one message holds", listOf(1), entries = 14, sentToLast = 14),
                Case("more than is sent", listOf(1), entries = 100, sentToLast = 24),
            ).forEach { case ->
                val known = List(case.entries) { entry("request-$it", "a", "b") }
                val receiver = protocol(member("vm-1", 1), known)
                val replies =
                    case.runs.map { run ->
                        val announcement = sent(protocol(member("vm-2", run)).announceTo(listOf(receiver.self.inner))).single()
                        sent(receiver.receive(announcement, Address("127.0.0.1", 7_002), 0))
                    }
                withClue(case.name) { replies.last().flatMap { it.suspicions }.distinct().size shouldBe case.sentToLast }
            }
        }

        // Guards against deaths that one daemon has forgotten, or has never heard of, not being added to those that it reports.
        test("a daemon that reports fewer deaths than are known is told of the others") {
            class Case(val name: String, val known: List<SuspicionEntry>, val reported: SuspicionEntry, val told: Set<String>)
            listOf(
                Case("nothing known", emptyList(), entry("request", "c"), emptySet()),
                Case("the same", listOf(entry("request", "c")), entry("request", "c"), emptySet()),
                Case("others known", listOf(entry("request", "a", "b")), entry("request", "c"), setOf("a", "b", "c")),
                Case("fewer known", listOf(entry("request", "a")), entry("request", "a", "c"), emptySet()),
                Case("another request", listOf(entry("other", "a", "b")), entry("request", "c"), emptySet()),
            ).forEach { case ->
                val crashes = EgressFixture(worker = answering()).crashes
                crashes.merge(case.known)
                val told = crashes.merge(listOf(case.reported)).flatMap { it.deaths }.map { it.text }.toSet()
                withClue(case.name) { told shouldBe case.told }
            }
        }

        test("entries that were sent before are sent again when they are added") {
            val dissemination = SuspicionDissemination()
            dissemination.add(listOf(entry("request", "a", "b")))
            repeat(100) { dissemination.take() }
            dissemination.addNew(listOf(entry("request", "a", "b"))) shouldBe emptyList()
            dissemination.take() shouldBe emptyList()
            dissemination.add(listOf(entry("request", "a", "b")))
            dissemination.take().size shouldBe 1
        }
    })
