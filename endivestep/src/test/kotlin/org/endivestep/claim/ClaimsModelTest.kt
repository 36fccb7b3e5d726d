package org.endivestep.claim

import io.kotest.assertions.withClue
import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.ints.shouldBeLessThanOrEqual
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
import org.endivestep.identity.AttemptId
import org.endivestep.identity.Fingerprint
import org.endivestep.identity.KindName
import org.endivestep.identity.ServiceName
import org.endivestep.identity.VmName
import org.endivestep.outcome.AnswerHead
import kotlin.concurrent.thread

private const val KEYS = 2
private const val FIRST_REQUEST_MS = 50L
private const val MAX_WAIT_MS = 30_000L

private enum class Step { SEND, RUN_ANSWERED, RUN_LOST, PROVED_NOT_RUN, CRASH, REPEAT_RELEASE, APPLY_LATE_WRITES }

private data class Action(val step: Step, val key: Int, val faults: List<StoreFault>)

/** Model of callers that send and resend requests through daemons, which may stop between any two steps. */
private class ClaimsModel {
    private class Holder(val claim: HeldClaim)

    private class Unconfirmed(val attempt: AttemptId)

    private var faults = ArrayDeque<StoreFault>()
    private val store = FakeStore { faults.removeFirstOrNull() ?: StoreFault.NONE }
    private val claims = Claims(store, VmName("vm"), { 0 })
    private val holders = Array(KEYS) { ArrayDeque<Holder>() }
    private val unconfirmed = Array(KEYS) { ArrayDeque<Unconfirmed>() }
    private val runs = IntArray(KEYS)
    private var nextAttempt = 0

    fun apply(action: Action) {
        faults = ArrayDeque(action.faults)
        val key = action.key
        when (action.step) {
            Step.SEND -> send(key)
            Step.RUN_ANSWERED -> holders[key].removeFirstOrNull()?.let { answered(key, it) }
            Step.RUN_LOST ->
                holders[key].removeFirstOrNull()?.let {
                    run(key)
                    claims.abandon(it.claim)
                }
            Step.PROVED_NOT_RUN -> holders[key].removeFirstOrNull()?.let { claims.release(it.claim) }
            Step.CRASH -> holders[key].removeFirstOrNull()
            Step.REPEAT_RELEASE -> unconfirmed[key].firstOrNull()?.let { claims.releaseUnconfirmed(claimKey(key), it.attempt) }
            Step.APPLY_LATE_WRITES -> store.applyLateWrites()
        }
        faults.clear()
    }

    private fun send(key: Int) {
        val attempt = AttemptId("attempt-${nextAttempt++}")
        when (val decision = claims.claim(claimKey(key), attempt, Fingerprint("same"))) {
            is ClaimDecision.Run -> {
                withClue("a request that ran may run again") { runs[key] shouldBe 0 }
                holders[key].addLast(Holder(decision.claim))
                withClue("two daemons hold the claim") { holders[key].size shouldBeLessThanOrEqual 1 }
            }
            is ClaimDecision.Replay -> withClue("an answer is replayed although no request ran") { runs[key] shouldBe 1 }
            ClaimDecision.StoreUnavailable -> unconfirmed[key].addLast(Unconfirmed(attempt))
            ClaimDecision.InProgress -> Unit
            ClaimDecision.KeyReused -> error("all requests are the same")
        }
    }

    private fun answered(key: Int, holder: Holder) {
        run(key)
        claims.complete(holder.claim, RecordedAnswer(AnswerHead(200, emptyList()), ByteArray(1)))
    }

    private fun run(key: Int) {
        runs[key]++
        withClue("key $key ran ${runs[key]} times") { runs[key] shouldBeLessThanOrEqual 1 }
    }

    private fun claimKey(key: Int) = ClaimKey(ServiceName("bestel"), KindName("order"), "key-$key")
}

private val actions: Arb<Action> =
    Arb.bind(Arb.enum<Step>(), Arb.int(0 until KEYS), Arb.list(Arb.enum<StoreFault>(), 0..3), ::Action)

class ClaimsModelTest :
    FunSpec({
        test("a request with a key runs at most once") {
            checkAll(fuzz(), Arb.list(actions, 1..60)) { sequence ->
                val model = ClaimsModel()
                sequence.forEach(model::apply)
            }
        }

        listOf<Triple<String, (Claims, HeldClaim) -> Unit, (ClaimDecision) -> Boolean>>(
            Triple("answered", { claims, held -> claims.complete(held, RecordedAnswer(AnswerHead(200, emptyList()), ByteArray(1))) }) {
                it is ClaimDecision.Replay
            },
            Triple("proved not run", { claims, held -> claims.release(held) }) { it is ClaimDecision.Run },
            Triple("lost", { claims, held -> claims.abandon(held) }) { it == ClaimDecision.InProgress },
        ).forEach { (name, end, expected) ->
            test("a resend waits until the first request is $name") {
                val claims = Claims(FakeStore(), VmName("vm"), { 0 })
                val key = ClaimKey(ServiceName("bestel"), KindName("order"), "key")
                val first = claims.claim(key, AttemptId("1"), Fingerprint("same")) as ClaimDecision.Run
                val ending = thread { Thread.sleep(FIRST_REQUEST_MS).also { end(claims, first.claim) } }
                expected(claims.claim(key, AttemptId("2"), Fingerprint("same"), MAX_WAIT_MS)) shouldBe true
                ending.join()
            }
        }

        test("reuse of a key for a different request is refused") {
            val claims = Claims(FakeStore(), VmName("vm"), { 0 })
            val key = ClaimKey(ServiceName("bestel"), KindName("order"), "key")
            claims.claim(key, AttemptId("1"), Fingerprint("one"))
            claims.claim(key, AttemptId("2"), Fingerprint("other")) shouldBe ClaimDecision.KeyReused
        }
    })
