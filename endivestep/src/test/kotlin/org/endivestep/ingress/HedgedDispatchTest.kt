package org.endivestep.ingress

import io.kotest.assertions.throwables.shouldThrow
import io.kotest.assertions.withClue
import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.booleans.shouldBeFalse
import io.kotest.matchers.booleans.shouldBeTrue
import io.kotest.matchers.collections.shouldBeUnique
import io.kotest.matchers.ints.shouldBeLessThanOrEqual
import io.kotest.matchers.shouldBe
import io.kotest.property.Arb
import io.kotest.property.arbitrary.enum
import io.kotest.property.arbitrary.int
import io.kotest.property.checkAll
import org.endivestep.choice.LoadView
import org.endivestep.exchange.AttemptRequest
import org.endivestep.exchange.RequestBody
import org.endivestep.exchange.monotonicMs
import org.endivestep.fakes.HedgingFixture
import org.endivestep.fakes.fuzz
import org.endivestep.fakes.roundRobin
import org.endivestep.identity.AttemptId
import org.endivestep.metrics.HedgeEvent
import org.endivestep.outcome.AnswerHead
import org.endivestep.outcome.AttemptResult
import org.endivestep.outcome.NotRunReason
import org.endivestep.outcome.UnknownReason
import java.io.ByteArrayInputStream
import java.util.concurrent.ConcurrentLinkedQueue
import java.util.concurrent.CountDownLatch
import java.util.concurrent.TimeUnit
import java.util.concurrent.atomic.AtomicBoolean
import java.util.concurrent.atomic.AtomicInteger
import kotlin.concurrent.thread

/** Longer than any attempt waits before the second one is sent. */
private const val SLOW_MS = 250L
private const val NEVER_MS = 8_000L
private const val SETTLE_MS = 2_000L

private class TrackedBody : ByteArrayInputStream(ByteArray(0)) {
    val closed = AtomicBoolean()

    override fun close() = closed.set(true)
}

private fun answered(status: Int = 200) = AttemptResult.Answered(AnswerHead(status, emptyList()), TrackedBody(), null)

private fun refused() = AttemptResult.NotRun(NotRunReason.OVERLOADED)

private fun lost() = AttemptResult.Unknown(UnknownReason.CONNECTION_LOST)

private enum class AttemptEnding(val mayHaveRun: Boolean, val result: () -> AttemptResult) {
    ANSWERED(true, { answered() }),
    FAILED(true, { answered(500) }),
    REFUSED(false, ::refused),
    LOST(true, ::lost),
}

/** One attempt that a test saw. */
private class Seen(val number: Int, val route: Route, val request: AttemptRequest)

/** A dispatcher whose attempts run [script], numbered from 0 in the order in which they begin. */
private class Attempts(
    workers: Int = 3,
    fixture: HedgingFixture,
    sendWindowMs: (IncomingCall) -> Long = { Long.MAX_VALUE },
    private val script: (Seen) -> AttemptResult,
) {
    val seen = ConcurrentLinkedQueue<Seen>()
    val results = ConcurrentLinkedQueue<AttemptResult>()
    private val numbers = AtomicInteger()
    val dispatcher =
        Dispatcher(
            { routesOf(workers) },
            LoadView(::monotonicMs),
            roundRobin(),
            sendWindowMs = sendWindowMs,
            hedging = fixture.hedging,
        ) { route, request ->
            val attempt = Seen(numbers.getAndIncrement(), route, request).also { seen += it }
            script(attempt).also { results += it }
        }

    fun number(number: Int): Seen = seen.first { it.number == number }

    fun dispatch(call: IncomingCall = sampleCall(true)): AttemptResult = dispatcher.dispatch(call, AttemptId("first"))
}

private fun after(ms: Long, result: () -> AttemptResult): AttemptResult {
    Thread.sleep(ms)
    return result()
}

private fun AttemptResult.text(): String =
    when (this) {
        is AttemptResult.Answered -> "${head.status}"
        is AttemptResult.NotRun -> "not run"
        is AttemptResult.Unknown -> "unknown"
    }

private fun eventually(condition: () -> Boolean): Boolean {
    val untilMs = monotonicMs() + SETTLE_MS
    while (monotonicMs() < untilMs) {
        if (condition()) return true
        Thread.sleep(1)
    }
    return condition()
}

class HedgedDispatchTest :
    FunSpec({
        // Guards against second attempts where one attempt is all that the request, its route or the operator allows.
        test("a second attempt of a slow request is sent only where it may be") {
            class Case(
                val name: String,
                val second: Boolean,
                val call: () -> IncomingCall = { sampleCall(true) },
                val workers: Int = 3,
                val sendWindowMs: Long = Long.MAX_VALUE,
                val fixture: () -> HedgingFixture = { HedgingFixture() },
            )
            val stopped = AtomicBoolean()
            listOf(
                Case("a slow idempotent request", second = true),
                Case("a request that must not run twice", second = false, call = { sampleCall(false) }),
                Case(
                    "a body that can be read once",
                    second = false,
                    call = { sampleCall(true, body = RequestBody.Streamed(ByteArrayInputStream(ByteArray(0)), 0)) },
                ),
                Case("a route with one attempt", second = false, call = { sampleCall(true, maxAttempts = 1) }),
                Case("a route with two attempts", second = true, call = { sampleCall(true, maxAttempts = 2) }),
                Case("one worker", second = false, workers = 1),
                Case("no worker with room", second = false) { HedgingFixture(secondMs = null) },
                Case("a second worker that is not clearly sooner", second = false) { HedgingFixture(secondMs = 2_900.0) },
                Case("a second worker that is too late", second = false, call = { sampleCall(true, monotonicMs() + SLOW_MS + 100) }) {
                    HedgingFixture(secondMs = SLOW_MS + 100.0)
                },
                Case("response times not known", second = false) { HedgingFixture(knowsTimes = false) },
                Case("a share that is used up", second = false) { HedgingFixture(extraShare = 0.5) },
                Case("a daemon that is stopping", second = false) { HedgingFixture(isAllowed = { false }) },
                Case("a daemon that begins to stop meanwhile", second = false) {
                    HedgingFixture(isAllowed = { !stopped.getAndSet(true) })
                },
                Case("a stop before which the answer would not come", second = true, sendWindowMs = 1_000),
            ).forEach { case ->
                case.fixture().use { fixture ->
                    val attempts =
                        Attempts(case.workers, fixture, { case.sendWindowMs }) { seen ->
                            if (seen.number == 0) after(SLOW_MS) { answered() } else answered()
                        }
                    val result = attempts.dispatch(case.call())
                    withClue(case.name) {
                        result.text() shouldBe "200"
                        attempts.seen.size shouldBe if (case.second) 2 else 1
                        // The timer counts the second attempt after it has handed it over, which may be after the response to it.
                        eventually { fixture.count(HedgeEvent.SENT) == if (case.second) 1L else 0L } shouldBe true
                        attempts.seen.map { it.route.candidate.vm }.shouldBeUnique()
                        attempts.seen.map { it.request.attemptId }.shouldBeUnique()
                        attempts.seen.drop(1).forEach { it.request.maxWaitMs shouldBe 0L }
                    }
                }
            }
        }

        test("a second attempt draws on the retry budget of its service") {
            HedgingFixture().use { fixture ->
                val isSlow = AtomicBoolean()
                val attempts =
                    Attempts(5, fixture) { seen ->
                        if (!isSlow.get()) refused() else after(if (seen.number == 0) 0 else SLOW_MS) { answered() }
                    }
                repeat(sampleCall(true).service.retry.reserve) { attempts.dispatch() }
                isSlow.set(true)
                val before = attempts.seen.size
                attempts.dispatch().text() shouldBe "200"
                attempts.seen.size - before shouldBe 1
                fixture.count(HedgeEvent.REFUSED_BUDGET) shouldBe 1L
            }
        }

        // Guards against a request that waits for its slow attempt, and against one that fails because of its second attempt.
        test("the first response that is not a failure is used") {
            class Case(val name: String, val first: Seen.() -> AttemptResult, val second: Seen.() -> AttemptResult, val expected: String)
            listOf(
                Case("the second attempt responds first", { after(NEVER_MS, ::lost) }, { answered(201) }, "201 of 1"),
                Case("the first attempt responds first", { after(60) { answered(200) } }, { after(NEVER_MS, ::lost) }, "200 of 0"),
                Case("the second attempt is refused", { after(60) { answered(200) } }, { refused() }, "200 of 0"),
                Case("the second worker dies", { after(60) { answered(200) } }, { lost() }, "200 of 0"),
                Case("the second attempt fails with an error", { after(60) { answered(200) } }, { answered(500) }, "200 of 0"),
                Case("the second attempt ends with an exception", { after(60) { answered(200) } }, { error("a fault") }, "200 of 0"),
                Case("the first worker dies meanwhile", { after(60, ::lost) }, { after(100) { answered(201) } }, "201 of 1"),
                Case("the first worker fails with an error", { after(60) { answered(500) } }, { after(100) { answered(201) } }, "201 of 1"),
                Case("both fail with an error", { after(60) { answered(500) } }, { after(100) { answered(501) } }, "500 of 0"),
                Case("a worker's refusal and an error", { after(60, ::refused) }, { answered(501) }, "501 of 1"),
            ).forEach { case ->
                HedgingFixture().use { fixture ->
                    val attempts = Attempts(2, fixture) { seen -> if (seen.number == 0) case.first(seen) else case.second(seen) }
                    val startMs = monotonicMs()
                    val result = attempts.dispatch()
                    withClue(case.name) {
                        val number = case.expected.substringAfter(" of ").toInt()
                        result.text() shouldBe case.expected.substringBefore(" of ")
                        (monotonicMs() - startMs < SETTLE_MS).shouldBeTrue()
                        Thread.interrupted().shouldBeFalse()
                        attempts.number(number).request.cancellation.isCancelled.shouldBeFalse()
                        result.bodyIsClosed().shouldBeFalse()
                        eventually { attempts.results.filter { it !== result }.all { it !is AttemptResult.Answered || it.bodyIsClosed() } }
                            .shouldBeTrue()
                        val won = if (number == 1) 1L else 0L
                        fixture.count(HedgeEvent.WON) shouldBe won
                    }
                }
            }
        }

        test("a response that arrives after its attempt was cancelled is closed") {
            HedgingFixture().use { fixture ->
                val release = CountDownLatch(1)
                val attempts =
                    Attempts(2, fixture) { seen ->
                        if (seen.number == 0) after(60) { answered() } else uninterruptibly(release) { answered() }
                    }
                attempts.dispatch().text() shouldBe "200"
                attempts.number(1).request.cancellation.isCancelled.shouldBeTrue()
                release.countDown()
                eventually { attempts.results.size == 2 }.shouldBeTrue()
                eventually { attempts.results.last().bodyIsClosed() }.shouldBeTrue()
                fixture.count(HedgeEvent.CANCELLED) shouldBe 1L
            }
        }

        // Guards against work that goes on for a caller that has left, in either of the attempts.
        test("a caller that leaves cancels both attempts") {
            HedgingFixture().use { fixture ->
                val interrupted = CountDownLatch(2)
                val both = CountDownLatch(2)
                val attempts =
                    Attempts(2, fixture) {
                        both.countDown()
                        try {
                            after(NEVER_MS, ::lost)
                        } catch (e: InterruptedException) {
                            interrupted.countDown()
                            throw e
                        }
                    }
                val call = sampleCall(true)
                thread {
                    both.await()
                    call.cancellation.cancel()
                }
                shouldThrow<InterruptedException> { attempts.dispatch(call) }
                interrupted.await(SETTLE_MS, TimeUnit.MILLISECONDS).shouldBeTrue()
                attempts.seen.all { it.request.cancellation.isCancelled }.shouldBeTrue()
                Thread.interrupted().shouldBeFalse()
            }
        }

        test("a caller that leaves before the second attempt prevents it") {
            HedgingFixture(usualMs = 100).use { fixture ->
                val attempts = Attempts(2, fixture) { after(NEVER_MS, ::lost) }
                val call = sampleCall(true)
                thread {
                    Thread.sleep(20)
                    call.cancellation.cancel()
                }
                shouldThrow<InterruptedException> { attempts.dispatch(call) }
                Thread.sleep(200)
                attempts.seen.size shouldBe 1
            }
        }

        test("the trace of a request names both attempts") {
            HedgingFixture().use { fixture ->
                val attempts = Attempts(2, fixture) { seen -> if (seen.number == 0) after(NEVER_MS, ::lost) else answered() }
                val call = sampleCall(true)
                attempts.dispatch(call)
                call.trace.map { it.replace(Regex("[0-9]+ms"), "Nms") } shouldBe listOf("vm-0=cancelled/Nms", "vm-1=200/Nms")
            }
        }

        // Guards against "not run" for a request of which one attempt may have run, and against a third attempt beside two.
        test("whatever the order in which attempts end, a request that is reported as not run never ran") {
            val endings = Arb.enum<AttemptEnding>()
            val delays = Arb.int(0..8)
            checkAll(fuzz(), endings, endings, endings, delays, delays) { first, second, third, firstMs, secondMs ->
                HedgingFixture(usualMs = 2).use { fixture ->
                    val running = AtomicInteger()
                    val most = AtomicInteger()
                    val attempts =
                        Attempts(4, fixture) { seen ->
                            most.accumulateAndGet(running.incrementAndGet(), ::maxOf)
                            try {
                                when (seen.number) {
                                    0 -> after(firstMs.toLong(), first.result)
                                    1 -> after(secondMs.toLong(), second.result)
                                    else -> third.result()
                                }
                            } finally {
                                running.decrementAndGet()
                            }
                        }
                    val result = attempts.dispatch()
                    val endings = listOf(first, second, third).take(attempts.seen.size)
                    withClue("$endings after $firstMs and $secondMs ms") {
                        if (result is AttemptResult.NotRun) endings.any { it.mayHaveRun }.shouldBeFalse()
                        attempts.seen.map { it.route.candidate.vm }.shouldBeUnique()
                        attempts.seen.size shouldBeLessThanOrEqual 3
                        most.get() shouldBeLessThanOrEqual 2
                        result.bodyIsClosed().shouldBeFalse()
                        eventually { running.get() == 0 }.shouldBeTrue()
                        eventually { attempts.results.filter { it !== result }.all { it !is AttemptResult.Answered || it.bodyIsClosed() } }
                            .shouldBeTrue()
                        Thread.interrupted().shouldBeFalse()
                    }
                }
            }
        }
    })

private fun AttemptResult.bodyIsClosed(): Boolean = ((this as? AttemptResult.Answered)?.body as? TrackedBody)?.closed?.get() == true

private fun uninterruptibly(release: CountDownLatch, result: () -> AttemptResult): AttemptResult {
    while (true) {
        try {
            release.await()
            return result()
        } catch (_: InterruptedException) {
            // An attempt may end with a response although it was cancelled.
            continue
        }
    }
}
