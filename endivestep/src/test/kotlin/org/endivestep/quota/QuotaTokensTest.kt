package org.endivestep.quota

import io.kotest.assertions.withClue
import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.collections.shouldHaveSize
import io.kotest.matchers.longs.shouldBeInRange
import io.kotest.matchers.shouldBe
import org.endivestep.document.TeamQuota
import org.endivestep.identity.DaemonIncarnation
import org.endivestep.identity.TeamName
import org.endivestep.identity.VmName
import java.util.SplittableRandom

private val team = TeamName("team")
private val other = TeamName("other")
private val self = VmName("self")
private val owners = setOf(VmName("owner-1"), VmName("owner-2"))
private val quotas = mapOf(team to TeamQuota(20.0, 20.0), other to TeamQuota(20.0, 20.0))

private fun view(limits: Map<TeamName, TeamQuota> = quotas) = QuotaView(self, owners + self, owners, limits)

private fun newTokens(limits: Map<TeamName, TeamQuota> = quotas): QuotaTokens {
    val tokens = QuotaTokens(QuotaTolerance(), SplittableRandom(1), { DaemonIncarnation("1-a") }, 0)
    tokens.update(view(limits), 0)
    tokens.requests(0)
    return tokens
}

private fun QuotaTokens.ask(name: TeamName, nowMs: Long): QuotaTicket = acquire(name, nowMs) { }

private fun QuotaTokens.reply(to: OutgoingRequest, nowMs: Long, granted: Int, nextTokenMs: Long = 0) =
    receive(TokenReply(to.request.sequence, true, to.request.demands.map { TokenGrant(it.team, granted, nextTokenMs) }), nowMs)

private fun result(ticket: QuotaTicket): String =
    when (val decision = ticket.decision) {
        null -> "waits"
        is QuotaDecision.Granted -> "granted"
        is QuotaDecision.Refused -> decision.reason.text
    }

class QuotaTokensTest :
    FunSpec({
        test("requests of several teams for the same owner share a datagram") {
            val tokens = newTokens()
            repeat(3) { tokens.ask(team, 100) }
            tokens.ask(other, 100)
            val sent = tokens.requests(100)
            sent.sumOf { request -> request.request.demands.sumOf { it.wanted } } shouldBe 4
            sent.size shouldBe sent.distinctBy { it.owner }.size
        }

        test("a request is granted by the first owner, or by the other one, or refused when both have none") {
            class Case(val name: String, val first: Int?, val second: Int?, val result: String)
            listOf(
                Case("first has one", 1, null, "granted"),
                Case("second has one", 0, 1, "granted"),
                Case("none", 0, 0, "limit"),
                Case("first silent, second has one", null, 1, "granted"),
                Case("first silent, second none", null, 0, "limit"),
                Case("both silent", null, null, "no-owner"),
            ).forEach { case ->
                val tokens = newTokens()
                val ticket = tokens.ask(team, 100)
                var nowMs = 100L
                listOf(case.first, case.second).forEach { granted ->
                    val sent = tokens.requests(nowMs).firstOrNull { it.request.demands.isNotEmpty() } ?: return@forEach
                    nowMs += if (granted == null) 50 else 3
                    granted?.let { tokens.reply(sent, nowMs, it, nextTokenMs = if (it == 0) 80 else 0) }
                }
                tokens.requests(nowMs)
                if (case.first == null && case.second == null) tokens.requests(250)
                withClue(case.name) { result(ticket) shouldBe case.result }
            }
        }

        // Guards against tokens that are used so late that the window's bound does not cover them.
        test("a token expires 500 ms after it was asked for, and a given back one at the same time") {
            class Case(val name: String, val repliedMs: Long, val usedMs: Long, val result: String)
            listOf(
                Case("soon", 110, 200, "granted"),
                Case("just in time", 110, 599, "granted"),
                Case("too late", 110, 600, "waits"),
                Case("late reply", 590, 599, "granted"),
                Case("reply too late", 650, 651, "waits"),
            ).forEach { case ->
                val tokens = newTokens()
                tokens.ask(team, 100)
                val sent = tokens.requests(100).single { it.request.demands.isNotEmpty() }
                tokens.reply(sent, case.repliedMs, granted = 2)
                withClue(case.name) { result(tokens.ask(team, case.usedMs)) shouldBe case.result }
            }
            val tokens = newTokens()
            val ticket = tokens.ask(team, 100)
            tokens.reply(tokens.requests(100).single { it.request.demands.isNotEmpty() }, 105, granted = 1)
            tokens.giveBack(team, (ticket.decision as QuotaDecision.Granted).token, 300)
            result(tokens.ask(team, 301)) shouldBe "granted"
        }

        test("a repeated reply grants nothing") {
            val tokens = newTokens()
            tokens.ask(team, 100)
            val sent = tokens.requests(100).single { it.request.demands.isNotEmpty() }
            repeat(2) { tokens.reply(sent, 105, granted = 1) }
            result(tokens.ask(team, 106)) shouldBe "waits"
        }

        // Guards against a team far over its limit whose requests flood its owners.
        test("while both owners have none, requests are refused at once and nothing is sent") {
            val tokens = newTokens()
            tokens.ask(team, 100)
            repeat(2) { tokens.reply(tokens.requests(100).single { it.request.demands.isNotEmpty() }, 102, granted = 0, nextTokenMs = 100) }
            val refused = List(500) { tokens.ask(team, 150) }
            refused.map(::result).distinct() shouldBe listOf("limit")
            (refused.first().decision as QuotaDecision.Refused).availableMs shouldBe 52
            tokens.requests(150) shouldHaveSize 0
            result(tokens.ask(team, 210)) shouldBe "waits"
        }

        test("a token that is not needed is given back before it expires") {
            val tokens = newTokens()
            tokens.ask(team, 100)
            val sent = tokens.requests(100).single { it.request.demands.isNotEmpty() }
            tokens.reply(sent, 105, granted = 2)
            val returned = tokens.requests(460).single { it.request.demands.isNotEmpty() }
            returned.owner shouldBe sent.owner
            returned.request.demands shouldBe listOf(TokenDemand(team, wanted = 0, returned = 1))
            result(tokens.ask(team, 461)) shouldBe "waits"
        }

        test("without an owner's reply the fallback allowance is used until an owner replies") {
            val tokens = newTokens()
            var fallbacks = 0
            (100L..60_000L step 20).forEach { nowMs ->
                val ticket = tokens.ask(team, nowMs)
                tokens.requests(nowMs)
                if (nowMs > 1_000 && result(ticket) == "granted") fallbacks++
            }
            // 0.25 of 20 a second, at most what the slack of 20 and a tenth of the burst leave in 5 s, over three known daemons.
            val expected = (QuotaTolerance().fallbackPerSecond(quotas.getValue(team)) / 3 * 59).toLong()
            fallbacks.toLong() shouldBeInRange expected - 2..expected + 2
            tokens.fallbackCount shouldBe 1
            tokens.ask(team, 60_100)
            val sent = tokens.requests(60_100).first { it.request.demands.isNotEmpty() }
            tokens.reply(sent, 60_102, granted = 1)
            tokens.fallbackCount shouldBe 0
            result(tokens.ask(team, 60_103)) shouldBe "granted"
        }

        // Guards against refusals of a team below its new limit while its owners do not know the limit yet.
        test("a team that had no limit before is limited from the first reply of an owner on") {
            val tokens = newTokens(limits = emptyMap())
            tokens.update(view(), 1_000)
            result(tokens.ask(team, 1_010)) shouldBe "granted"
            val sent = tokens.requests(1_011).first { it.request.demands.isNotEmpty() }
            result(tokens.ask(team, 1_012)) shouldBe "granted"
            tokens.reply(sent, 1_014, granted = 0, nextTokenMs = 50)
            result(tokens.ask(team, 1_015)) shouldBe "waits"
            result(newTokens().ask(team, 10)) shouldBe "waits"
        }
    })
