package org.endivestep.quota

import io.kotest.assertions.withClue
import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.shouldBe
import org.endivestep.document.TeamQuota
import org.endivestep.identity.DaemonIncarnation
import org.endivestep.identity.TeamName
import org.endivestep.identity.VmName

private val team = TeamName("team")
private val self = VmName("self")
private val peers = (1..4).map { VmName("peer-$it") }
private val quota = TeamQuota(20.0, 20.0)

// All teams belong to a daemon that is the only live one, or to both of two.
private fun view(live: Set<VmName> = setOf(self, peers[0]), quotas: Map<TeamName, TeamQuota> = mapOf(team to quota)) =
    QuotaView(self, peers.toSet() + self, live, quotas)

private fun request(sequence: Long, wanted: Int, sender: VmName = peers[0], run: String = "1-a", returned: Int = 0) =
    TokenRequest(sender, DaemonIncarnation(run), sequence, listOf(TokenDemand(team, wanted, returned)))

private class Fixture(val view: QuotaView = view()) {
    val owner = QuotaOwner(self, QuotaTolerance())

    /** Lets time pass from [fromMs] to [untilMs] while the daemon hears from [heard], at its start from 100 ms later on. */
    fun pass(fromMs: Long, untilMs: Long, heard: List<VmName> = peers) {
        (fromMs..untilMs step 100).forEach { nowMs ->
            heard.forEach { owner.heard(it, nowMs) }
            owner.update(view, nowMs)
        }
    }

    fun granted(request: TokenRequest, nowMs: Long): Int? = owner.handle(request, nowMs)?.grants?.firstOrNull()?.granted
}

class QuotaOwnerTest :
    FunSpec({
        // Guards against two owners of the same tokens on both sides of a partition, or after a pause.
        test("an owner grants only while it hears from most daemons and owns the team for 1 s") {
            class Case(val name: String, val granting: Boolean, val prepare: Fixture.() -> Unit)
            listOf(
                Case("in calm", granting = true) { pass(0, 10_000) },
                Case("for 3.9 s with a majority", granting = false) { pass(6_000, 10_000) },
                Case("for 4 s with a majority", granting = true) { pass(5_900, 10_000) },
                Case("has regained the majority 3.9 s ago", granting = false) {
                    pass(0, 2_000)
                    pass(2_100, 6_000, emptyList())
                    pass(6_100, 10_000)
                },
                Case("hears from half of five, itself included", granting = true) { pass(0, 10_000, peers.take(2)) },
                Case("hears from one of four others", granting = false) { pass(0, 10_000, peers.take(1)) },
                Case("hears from none since 2.9 s", granting = true) {
                    pass(0, 7_100)
                    pass(7_200, 10_000, emptyList())
                },
                Case("hears from none since 3.1 s", granting = false) {
                    pass(0, 6_800)
                    pass(6_900, 10_000, emptyList())
                },
                Case("was paused, and handles what was queued", granting = false) {
                    pass(0, 5_000)
                    peers.forEach { owner.heard(it, 10_000) }
                    owner.update(view, 10_000)
                    peers.forEach { owner.heard(it, 10_000) }
                },
                Case("was paused and not updated yet", granting = false) { pass(0, 8_000) },
            ).forEach { case ->
                val fixture = Fixture()
                case.prepare(fixture)
                withClue(case.name) { (fixture.granted(request(1, 1), 10_000) == 1) shouldBe case.granting }
            }
        }

        // Guards against tokens that are granted twice for one request.
        test("a repeated or outdated datagram grants nothing") {
            class Case(val name: String, val request: TokenRequest, val isNew: Boolean)
            val fixture = Fixture()
            fixture.pass(0, 10_000)
            listOf(
                Case("first", request(100, 1), isNew = true),
                Case("the same again", request(100, 1), isNew = false),
                Case("a later one", request(102, 1), isNew = true),
                Case("one that was overtaken", request(101, 1), isNew = true),
                Case("it again", request(101, 1), isNew = false),
                Case("the same number of another daemon", request(100, 1, sender = peers[1]), isNew = true),
                Case("a later run", request(1, 1, run = "2-b"), isNew = true),
                Case("the earlier run", request(103, 1, run = "1-a"), isNew = false),
                Case("an unknown daemon", request(1, 1, sender = VmName("stranger")), isNew = false),
            ).forEach { case -> withClue(case.name) { (fixture.owner.handle(case.request, 10_000) != null) shouldBe case.isNew } }
        }

        test("a datagram older than all that are remembered grants nothing") {
            val fixture = Fixture()
            fixture.pass(0, 10_000)
            (101L..150L).forEach { fixture.owner.handle(request(it, 0), 10_000) }
            fixture.owner.handle(request(100, 1), 10_000) shouldBe null
        }

        // Guards against a new owner that grants a burst which the one before has granted as well.
        test("the bucket starts empty, fills at the share of the rate and holds the share of the burst") {
            class Case(val name: String, val atMs: Long, val granted: Int)
            // Two owners: 10 a second; 10 tokens and a headroom of 2. The daemon becomes an owner after 3.1 s.
            listOf(Case("after 1 s", 4_100, 10), Case("after 1.2 s", 4_300, 12), Case("later", 60_000, 12)).forEach { case ->
                val fixture = Fixture()
                fixture.pass(0, case.atMs)
                withClue(case.name) { fixture.granted(request(1, 100), case.atMs) shouldBe case.granted }
            }
        }

        test("tokens that are given back are granted again, up to the capacity") {
            val fixture = Fixture()
            fixture.pass(0, 10_000)
            fixture.granted(request(1, 100), 10_000) shouldBe 12
            fixture.granted(request(2, 100, returned = 5), 10_000) shouldBe 5
            fixture.granted(request(3, 100, returned = 50), 10_000) shouldBe 12
        }

        // Guards against a delayed return that lets more run in the window of its arrival than the bucket allows.
        test("tokens that were granted more than 500 ms ago are not taken back") {
            val fixture = Fixture()
            fixture.pass(0, 10_000)
            fixture.granted(request(1, 100), 10_000) shouldBe 12
            fixture.granted(request(2, 100, returned = 12), 10_501) shouldBe 5
        }

        test("a refusal states when the next token is there") {
            val fixture = Fixture()
            fixture.pass(0, 10_000)
            fixture.owner.handle(request(1, 100), 10_000)
            fixture.owner.handle(request(2, 1), 10_000)?.grants?.first() shouldBe TokenGrant(team, 0, 100)
        }
    })
