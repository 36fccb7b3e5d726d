package org.endivestep.protocol

import io.kotest.assertions.withClue
import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.ints.shouldBeLessThanOrEqual
import io.kotest.matchers.shouldBe
import org.endivestep.identity.DataCentreName
import org.endivestep.identity.VmName
import org.endivestep.membership.MemberInfo
import org.endivestep.membership.MemberState
import org.endivestep.membership.newDaemonIncarnation
import org.endivestep.outcome.Load
import org.endivestep.settings.Address

private fun member(index: Int, dataCentre: String, state: MemberState = MemberState.ALIVE) =
    MemberInfo(
        vm = VmName("vm-$index"),
        inner = Address("10.0.0.$index", 7_000),
        adminPort = 0,
        dataCentre = DataCentreName(dataCentre),
        incarnation = newDaemonIncarnation(1, "run"),
        sequence = 1,
        state = state,
        worker = null,
    )

class LoadNoticeRecipientsTest :
    FunSpec({
        test("only recent senders are notified, and those in other data centres only of large changes") {
            class Case(val name: String, val load: Load, val senders: List<Int>, val ageMs: Long, val notified: Set<String>)
            val members = listOf(member(1, "here"), member(2, "here"), member(3, "there"), member(4, "there", MemberState.DEAD))
            listOf(
                Case("a large change", Load(10, 14), listOf(1, 2, 3, 4), 0, setOf("vm-2", "vm-3")),
                Case("a small change", Load(2, 14), listOf(1, 2, 3, 4), 0, setOf("vm-2")),
                Case("no recent sender", Load(10, 14), emptyList(), 0, emptySet()),
                Case("the last attempts were 15 s ago", Load(10, 14), listOf(2, 3), 15_000, emptySet()),
                Case("the last attempts were 5 s ago", Load(10, 14), listOf(2, 3), 5_000, setOf("vm-2", "vm-3")),
                Case("no change", Load(0, 14), listOf(2, 3), 0, emptySet()),
            ).forEach { case ->
                var nowMs = 10_000L
                val senders = RecentSenders { nowMs }
                val recipients = LoadNoticeRecipients(VmName("vm-1"), DataCentreName("here"), { members }, senders)
                recipients.select(Load(0, 14), nowMs)
                nowMs += 1_000
                case.senders.forEach { senders.record("10.0.0.$it") }
                nowMs += case.ageMs
                withClue(case.name) { recipients.select(case.load, nowMs).map { it.vm.text }.toSet() shouldBe case.notified }
            }
        }

        test("for a worker whose load changes constantly, the number of notices does not grow with the fleet") {
            listOf(16, 84, 250).forEach { size ->
                val members = (0 until size).map { member(it, "dc-${it % 4}") }
                var nowMs = 10_000L
                val senders = RecentSenders { nowMs }
                val recipients = LoadNoticeRecipients(VmName("vm-0"), DataCentreName("dc-0"), { members }, senders)
                var notices = 0
                repeat(100) { step ->
                    nowMs += 10
                    members.forEach { senders.record(it.inner.host) }
                    notices += recipients.select(Load(if (step % 2 == 0) 14 else 0, 14), nowMs).size
                }
                withClue("$size daemons in one second") { notices shouldBeLessThanOrEqual 100 * 24 }
            }
        }
    })
