package org.endivestep.egress

import io.kotest.assertions.withClue
import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.collections.shouldContainExactlyInAnyOrder
import org.endivestep.identity.AttemptId
import org.endivestep.identity.Fingerprint

private const val RETENTION_MS = 10_000L
private const val LOST_AT_MS = 100L

/** [InFlightRequests] with a clock; a request's name is its attempt and its fingerprint. */
private class TrackedRequests {
    private var nowMs = 0L
    private val requests = InFlightRequests(RETENTION_MS) { nowMs }

    fun at(ms: Long) {
        nowMs = ms
    }

    fun begin(name: String) = requests.begin(AttemptId(name), Fingerprint(name))

    fun lose(name: String) = requests.end(AttemptId(name), RequestEnd.CONNECTION_LOST)

    fun answer(name: String) = requests.end(AttemptId(name), RequestEnd.ANSWERED)

    fun cancel(name: String) = requests.end(AttemptId(name), RequestEnd.OTHER)

    fun failToSend(name: String) = requests.end(AttemptId(name), RequestEnd.NOT_SENT)

    fun suspects(): List<String> = requests.takeAtDeath().map { it.text }
}

class LateDeathTest :
    FunSpec({
        // Guards against a death that nobody is suspected of, because it is noticed only when the next run announces itself.
        test("a request whose connection was lost is suspected until the worker answers one that began later") {
            class Case(val name: String, val suspects: List<String>, val steps: TrackedRequests.() -> Unit)
            listOf(
                Case("noticed at once", listOf("lost", "earlier")) { },
                Case("noticed by the next run", listOf("lost", "earlier")) { at(5_000) },
                Case("noticed after the retention", listOf("earlier")) { at(RETENTION_MS + LOST_AT_MS + 1) },
                Case("the worker answered a later request", listOf("earlier")) {
                    at(200)
                    begin("later")
                    answer("later")
                },
                Case("the worker answered a request that began earlier", listOf("lost")) { answer("earlier") },
                Case("a later request was cancelled", listOf("lost", "earlier")) {
                    at(200)
                    begin("later")
                    cancel("later")
                },
                Case("a later request could not be sent", listOf("lost", "earlier")) {
                    at(200)
                    begin("later")
                    failToSend("later")
                },
                Case("a later request was lost as well", listOf("lost", "earlier", "later")) {
                    at(200)
                    begin("later")
                    lose("later")
                },
                Case("a later request still runs", listOf("lost", "earlier", "later")) {
                    at(200)
                    begin("later")
                },
            ).forEach { case ->
                val requests = TrackedRequests()
                requests.begin("lost")
                requests.begin("earlier")
                requests.at(LOST_AT_MS)
                requests.lose("lost")
                case.steps(requests)
                withClue(case.name) { requests.suspects() shouldContainExactlyInAnyOrder case.suspects }
            }
        }
    })
