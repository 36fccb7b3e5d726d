package org.endivestep.ingress

import io.github.oshai.kotlinlogging.KotlinLogging
import org.endivestep.exchange.Cancellation
import org.endivestep.exchange.monotonicMs
import org.endivestep.outcome.AttemptResult
import org.endivestep.outcome.UnknownReason
import java.util.concurrent.CompletableFuture
import java.util.concurrent.atomic.AtomicReference

private val logger = KotlinLogging.logger {}

/** How one of the attempts of a [HedgedRun] ended; [result] is null when it was cancelled. */
internal class RunEnd(val route: Route, val result: AttemptResult?, val elapsedMs: Long)

/** [chosen] is the attempt whose result counts; [other] is null when there was one attempt. */
internal class HedgedResult(val chosen: RunEnd, val other: RunEnd?)

/**
 * An attempt of a request on [firstRoute], beside which a second one may run on another thread.
 *
 * The first response that is not a failure is used, and the other attempt is cancelled. After a failure the other attempt
 * is awaited. The caller's cancellation cancels both. The body of a response that is not used is closed.
 */
internal class HedgedRun(private val firstRoute: Route, private val caller: Cancellation) {
    private enum class State { FIRST_ALONE, BOTH, DECIDED }

    private val state = AtomicReference(State.FIRST_ALONE)
    private val first = CancellableRun()
    private val second = CancellableRun()
    private val startMs = monotonicMs()

    // Null when no thread was free for the second attempt.
    private val secondEnd = CompletableFuture<RunEnd?>()

    @Volatile
    private var secondRoute: Route? = null

    @Volatile
    private var secondStartMs = 0L

    val elapsedMs: Long get() = monotonicMs() - startMs

    /** Runs [attempt] on the calling thread until the result is known. Throws [InterruptedException] when the caller has left. */
    fun run(attempt: (CancellableRun) -> AttemptResult): HedgedResult {
        caller.onCancel(::cancel)
        var decided = false
        var firstResult: AttemptResult? = null
        try {
            firstResult = runFirst(attempt)
            if (caller.isCancelled) throw InterruptedException("the caller has left")
            return decide(RunEnd(firstRoute, firstResult, elapsedMs)).also { decided = true }
        } finally {
            if (!decided) giveUp(firstResult)
        }
    }

    /**
     * Allows the second attempt to begin on [route]; returns false when the result of the first one is known. Either [runSecond]
     * or [skipSecond] must follow.
     */
    fun claimSecond(route: Route): Boolean {
        secondRoute = route
        secondStartMs = monotonicMs()
        return state.compareAndSet(State.FIRST_ALONE, State.BOTH)
    }

    /** Runs the second attempt on the calling thread. */
    @Suppress("TooGenericExceptionCaught") // The first attempt may wait for the result, whatever happens.
    fun runSecond(attempt: (CancellableRun) -> AttemptResult) {
        val result =
            try {
                second.run(attempt).unlessReplaced(second)
            } catch (e: InterruptedException) {
                logger.trace { "the second attempt was cancelled: $e" }
                null
            } catch (e: RuntimeException) {
                logger.error(e) { "the second attempt failed" }
                AttemptResult.Unknown(UnknownReason.CONNECTION_LOST)
            }
        val won = result.isResponse() && state.compareAndSet(State.BOTH, State.DECIDED)
        secondEnd.complete(RunEnd(checkNotNull(secondRoute), result, monotonicMs() - secondStartMs))
        if (won) first.replace()
    }

    /** Gives up the second attempt before it began. */
    fun skipSecond() {
        secondEnd.complete(null)
    }

    // Returns null when the second attempt responded first.
    private fun runFirst(attempt: (CancellableRun) -> AttemptResult): AttemptResult? =
        try {
            first.run(attempt).unlessReplaced(first)
        } catch (e: InterruptedException) {
            if (!first.isReplaced) throw e
            null
        }

    private fun decide(end: RunEnd): HedgedResult =
        when {
            end.result.isResponse() -> responded(end)
            state.compareAndSet(State.FIRST_ALONE, State.DECIDED) -> HedgedResult(end, null)
            else -> combine(end, secondEnd.get())
        }

    private fun responded(end: RunEnd): HedgedResult =
        when (state.getAndSet(State.DECIDED)) {
            State.FIRST_ALONE -> HedgedResult(end, null)
            State.BOTH -> {
                second.replace()
                closeSecond()
                HedgedResult(end, RunEnd(checkNotNull(secondRoute), null, monotonicMs() - secondStartMs))
            }
            else -> combine(RunEnd(end.route, null, end.elapsedMs).also { end.result.close() }, secondEnd.get())
        }

    private fun combine(firstEnd: RunEnd, secondEnd: RunEnd?): HedgedResult {
        if (secondEnd == null) return HedgedResult(firstEnd, null)
        val secondCounts = secondEnd.result.certainty() > firstEnd.result.certainty()
        val chosen = if (secondCounts) secondEnd else firstEnd
        val other = if (secondCounts) firstEnd else secondEnd
        other.result.close()
        return HedgedResult(chosen, other)
    }

    private fun cancel() {
        first.cancel()
        second.cancel()
    }

    private fun giveUp(firstResult: AttemptResult?) {
        state.set(State.DECIDED)
        cancel()
        firstResult.close()
        closeSecond()
    }

    // Closes the body of the second response, also when it arrives only afterwards.
    private fun closeSecond() {
        secondEnd.thenAccept { it?.result.close() }
    }
}

private fun AttemptResult?.close() {
    if (this is AttemptResult.Answered) body.close()
}

// The failure of an attempt that was cancelled follows from its cancellation.
private fun AttemptResult.unlessReplaced(run: CancellableRun): AttemptResult? {
    if (!run.isReplaced || isResponse()) return this
    close()
    return null
}

private fun AttemptResult?.isResponse(): Boolean = this is AttemptResult.Answered && head.status < FIRST_SERVER_ERROR

// A response counts before a failure. "Not run" counts last: it may be reported only when it holds for both attempts.
private fun AttemptResult?.certainty(): Int =
    when (this) {
        null -> CANCELLED
        is AttemptResult.NotRun -> NOT_RUN
        is AttemptResult.Unknown -> UNKNOWN
        is AttemptResult.Answered -> if (isResponse()) RESPONSE else FAILURE
    }

private const val FIRST_SERVER_ERROR = 500
private const val CANCELLED = 0
private const val NOT_RUN = 1
private const val UNKNOWN = 2
private const val FAILURE = 3
private const val RESPONSE = 4
