package org.endivestep.ingress

import io.kotest.assertions.withClue
import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.longs.shouldBeInRange
import org.endivestep.exchange.Cancellation
import org.endivestep.exchange.MessageHeaders
import org.endivestep.exchange.RequestBody
import org.endivestep.outcome.HeaderField

private val headers = MessageHeaders("Id", "Deadline", "Caller", "Expect", "Retry-After")
private const val NEVER_MS = Long.MAX_VALUE

/** Request that arrives at [arrivesMs] after the start, when a daemon can serve it from [servableMs] on. */
private class HoldCase(
    val name: String,
    val arrivesMs: Long,
    val servableMs: Long,
    val heldMs: LongRange,
    val deadlineMs: Long? = 1_200,
    val leavesMs: Long = NEVER_MS,
)

private fun heldMs(case: HoldCase): Long {
    var nowMs = 0L
    val cancellation = Cancellation()
    val hold =
        StartupHold(headers, { nowMs }, { nowMs >= case.servableMs }) { pausedMs ->
            nowMs += pausedMs
            if (nowMs >= case.leavesMs) cancellation.cancel()
        }
    nowMs = case.arrivesMs
    val deadline = listOfNotNull(case.deadlineMs?.let { HeaderField("Deadline", it.toString()) })
    hold.hold(CallerRequest("GET", "/", deadline, RequestBody.Inline(ByteArray(0)), nowMs, cancellation = cancellation))
    return nowMs - case.arrivesMs
}

class StartupHoldTest :
    FunSpec({
        // Guards against refusals of requests that a daemon could serve some ms later, when all daemons start at once.
        test("a request is held after a start until it can be served, for a part of its time at most") {
            listOf(
                HoldCase("the daemon knows all it needs", arrivesMs = 100, servableMs = 0, heldMs = 0L..0L),
                HoldCase("the configuration comes in time", arrivesMs = 100, servableMs = 350, heldMs = 250L..270L),
                HoldCase("the configuration comes too late", arrivesMs = 100, servableMs = 900, heldMs = 400L..420L),
                HoldCase("a caller with little time", arrivesMs = 100, servableMs = 900, heldMs = 150L..170L, deadlineMs = 450),
                HoldCase("a caller with much time", arrivesMs = 100, servableMs = NEVER_MS, heldMs = 500L..520L, deadlineMs = 9_000),
                HoldCase("a caller without a deadline", arrivesMs = 100, servableMs = NEVER_MS, heldMs = 500L..520L, deadlineMs = null),
                HoldCase("a caller that leaves", arrivesMs = 100, servableMs = 900, heldMs = 200L..220L, leavesMs = 300),
                HoldCase("the end of the start", arrivesMs = 2_900, servableMs = NEVER_MS, heldMs = 100L..120L),
                HoldCase("long after the start", arrivesMs = 60_000, servableMs = NEVER_MS, heldMs = 0L..0L),
            ).forEach { case -> withClue(case.name) { heldMs(case) shouldBeInRange case.heldMs } }
        }
    })
