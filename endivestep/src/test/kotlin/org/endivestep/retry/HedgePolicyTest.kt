package org.endivestep.retry

import io.kotest.assertions.withClue
import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.doubles.shouldBeBetween
import io.kotest.matchers.ints.shouldBeGreaterThanOrEqual
import io.kotest.matchers.longs.shouldBeBetween
import io.kotest.matchers.nulls.shouldBeNull
import io.kotest.matchers.nulls.shouldNotBeNull
import io.kotest.matchers.shouldBe
import io.kotest.property.Arb
import io.kotest.property.arbitrary.int
import io.kotest.property.arbitrary.list
import io.kotest.property.checkAll
import org.endivestep.fakes.fuzz
import org.endivestep.identity.KindName
import org.endivestep.identity.ServiceName

private val shop = ServiceName("shop")
private val read = KindName("read")

/** The histogram's buckets are 10 percent wide. */
private const val BUCKET_RATIO = 1.1

private class Clock(var nowMs: Long = 0)

private fun policy(share: Double = 0.05, clock: Clock = Clock()) = HedgePolicy(HedgeSettings(share)) { clock.nowMs }

private fun HedgePolicy.respond(count: Int, elapsedMs: Long) = repeat(count) { noteResponse(shop, read, elapsedMs) }

class HedgePolicyTest :
    FunSpec({
        test("an attempt counts as slow after the time within which 95 in 100 responses came") {
            class Case(val name: String, val expectedMs: Long?, val responses: HedgePolicy.() -> Unit)
            listOf(
                Case("no responses", null) { },
                Case("too few responses", null) { respond(19, 100) },
                Case("all alike", 100) { respond(100, 100) },
                Case("3 in 100 slow", 100) {
                    respond(97, 100)
                    respond(3, 700)
                },
                Case("10 in 100 slow", 700) {
                    respond(90, 100)
                    respond(10, 700)
                },
                Case("shorter than a ms", 1) { respond(100, 0) },
                Case("longer than the last bucket", 9_000) { respond(100, 100_000) },
            ).forEach { case ->
                val policy = policy()
                case.responses(policy)
                withClue(case.name) {
                    val delayMs = policy.delayMs(shop, read)
                    if (case.expectedMs == null) {
                        delayMs.shouldBeNull()
                    } else {
                        delayMs.shouldNotBeNull().shouldBeBetween(case.expectedMs, (case.expectedMs * BUCKET_RATIO).toLong() + 1)
                    }
                }
            }
        }

        // Guards against second attempts by the times of a load that has passed.
        test("old response times are forgotten") {
            val clock = Clock()
            val policy = policy(clock = clock)
            policy.respond(1_000, 800)
            clock.nowMs += 60_000
            policy.respond(200, 50)
            policy.delayMs(shop, read)!!.shouldBeBetween(720L, 900L)
            clock.nowMs += 60_000
            policy.respond(300, 50)
            policy.delayMs(shop, read)!!.shouldBeBetween(50L, 55L)
            clock.nowMs += 600_000
            policy.delayMs(shop, read).shouldBeNull()
            clock.nowMs += 60L * 24 * 3_600_000
            policy.respond(100, 20)
            policy.delayMs(shop, read)!!.shouldBeBetween(20L, 22L)
        }

        // Guards against a tail that seems to vanish because its requests were hedged, after which they are no longer hedged.
        test("attempts that were cancelled count as ones that would have taken as long as the slow ones") {
            val policy = policy()
            policy.respond(950, 100)
            policy.respond(50, 700)
            repeat(20) {
                policy.respond(95, 100)
                repeat(5) { policy.noteUnfinished(shop, read, 210) }
            }
            policy.decide(shop, read, HedgeFacts(elapsedMs = 110, remainingMs = 5_000, secondMs = 300.0)) shouldBe HedgeDecision.SEND
            val times = ResponseTimes()
            repeat(95) { times.add(100.0, 0) }
            repeat(5) { times.add(700.0, 0) }
            repeat(100) { times.addUnfinished(150.0, 0) }
            times.meanLeftMs(150.0).shouldBeBetween(500.0, 620.0, 0.0)
        }

        test("a second attempt is sent only if it is expected in time and clearly sooner") {
            class Case(val name: String, val slowMs: Long, val facts: HedgeFacts, val expected: HedgeDecision)
            listOf(
                Case("slow ones take much longer", 700, HedgeFacts(110, 1_000, 120.0), HedgeDecision.SEND),
                Case("slow ones take hardly longer", 150, HedgeFacts(110, 1_000, 120.0), HedgeDecision.NOT_SOONER),
                Case("none is slow", 100, HedgeFacts(110, 1_000, 120.0), HedgeDecision.NOT_SOONER),
                Case("the second worker is as slow", 700, HedgeFacts(110, 1_000, 560.0), HedgeDecision.NOT_SOONER),
                Case("the second worker responds after the deadline", 700, HedgeFacts(110, 119, 120.0), HedgeDecision.TOO_LATE),
            ).forEach { case ->
                val policy = policy()
                policy.respond(96, 100)
                policy.respond(4, case.slowMs)
                withClue(case.name) { policy.decide(shop, read, case.facts) shouldBe case.expected }
            }
        }

        // Guards against a share that each daemon grants anew, and against one that is saved up while a service is idle.
        test("the second attempts of all daemons stay within the share, however requests are distributed over time and daemons") {
            listOf(0.0, 0.02, 0.05, 0.5, 1.0).forEach { share ->
                checkAll(fuzz(), Arb.list(Arb.int(0 until 300), 0..600), Arb.int(1..300)) { requests, daemons ->
                    val policies = List(daemons) { policy(share) }
                    var sent = 0
                    requests.forEachIndexed { index, daemon ->
                        val policy = policies[daemon % daemons]
                        policy.noteRequest(shop)
                        while (policy.trySpend(shop)) sent++
                        withClue("share $share, $daemons daemons, ${index + 1} requests, $sent sent") {
                            (sent <= share * (index + 1) + 1e-9) shouldBe true
                        }
                    }
                }
            }
        }

        test("what an idle service saved up is bounded, and services do not share it") {
            val policy = policy(0.5)
            repeat(10_000) { policy.noteRequest(shop) }
            var sent = 0
            while (policy.trySpend(shop)) sent++
            sent shouldBe 10
            policy.canSpend(ServiceName("other")) shouldBe false
        }

        test("the share is granted in full under demand") {
            val policy = policy(0.05)
            var sent = 0
            repeat(10_000) {
                policy.noteRequest(shop)
                if (policy.trySpend(shop)) sent++
            }
            sent shouldBeGreaterThanOrEqual 499
        }

        test("the kinds that are known are bounded") {
            val policy = policy()
            policy.respond(100, 50)
            repeat(1_000) { policy.noteResponse(shop, KindName("kind-$it"), 10) }
            policy.delayMs(shop, read).shouldBeNull()
        }
    })
