package org.endivestep.ingress

import io.kotest.assertions.withClue
import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.collections.shouldBeSorted
import io.kotest.matchers.ints.shouldBeLessThanOrEqual
import io.kotest.matchers.shouldBe
import io.kotest.property.Arb
import io.kotest.property.arbitrary.enum
import io.kotest.property.arbitrary.list
import io.kotest.property.checkAll
import org.endivestep.fakes.fuzz

private class Numbered(
    val number: Int,
    override val mayOverlap: Boolean,
    override val endsConnection: Boolean = false,
    override val bytes: Int = 10,
) : PipelinedRequest

private val limits = PipelineLimits(maxRunning = 3, maxWaiting = 4, maxWaitingBytes = 100)

private enum class Event { ADD_READ, ADD_WRITE, ADD_LAST, START, ANSWER, CLOSE, BEGIN_CLOSING }

/** A connection that adds requests only while reading is not paused, as [CallerConnection] does. */
private class SimulatedConnection {
    val pipeline = RequestPipeline<Numbered>(limits)
    val started = mutableListOf<Numbered>()
    val answered = mutableListOf<Numbered>()
    var closing = false
    private var last = 0

    fun apply(event: Event) {
        when (event) {
            Event.ADD_READ -> add(Numbered(++last, mayOverlap = true))
            Event.ADD_WRITE -> add(Numbered(++last, mayOverlap = false))
            Event.ADD_LAST -> add(Numbered(++last, mayOverlap = true, endsConnection = true))
            Event.START -> pipeline.startNext(closing)?.let { start(it) }
            Event.ANSWER -> pipeline.first?.let { answer(it) }
            Event.CLOSE -> pipeline.close()
            Event.BEGIN_CLOSING -> closing = true
        }
    }

    private fun add(request: Numbered) {
        if (!pipeline.isFull) pipeline.add(request)
    }

    private fun start(request: Numbered) {
        val running = started - answered.toSet()
        withClue("request ${request.number} started beside ${running.map { it.number }}") {
            val startsAlone = running.isEmpty()
            val overlaps = request.mayOverlap && running.all { it.mayOverlap && !it.endsConnection } && !closing
            (startsAlone || overlaps) shouldBe true
        }
        started += request
    }

    private fun answer(request: Numbered) {
        val endsConnection = pipeline.endsWithFirst(closing)
        if (endsConnection) pipeline.close().drop(1) shouldBe emptyList()
        pipeline.endFirst()
        answered += request
    }
}

class RequestPipelineTest :
    FunSpec({
        test("answers leave in order, each once; a request that may not overlap runs alone; what waits is bounded") {
            checkAll(fuzz(), Arb.list(Arb.enum<Event>(), 0..60)) { events ->
                val connection = SimulatedConnection()
                events.forEach { event ->
                    connection.apply(event)
                    (connection.started.size - connection.answered.size) shouldBeLessThanOrEqual limits.maxRunning
                }
                connection.started.map { it.number }.shouldBeSorted()
                connection.answered.map { it.number } shouldBe connection.started.take(connection.answered.size).map { it.number }
            }
        }

        test("which requests start beside those that run") {
            class Case(val name: String, val running: List<Numbered>, val next: Numbered, val closing: Boolean, val starts: Boolean)
            val read = Numbered(1, mayOverlap = true)
            val write = Numbered(2, mayOverlap = false)
            val last = Numbered(3, mayOverlap = true, endsConnection = true)
            val next = Numbered(4, mayOverlap = true)
            listOf(
                Case("a read behind a read", listOf(read), next, closing = false, starts = true),
                Case("a write behind a read", listOf(read), write, closing = false, starts = false),
                Case("a read behind a write", listOf(write), next, closing = false, starts = false),
                Case("a write alone", emptyList(), write, closing = false, starts = true),
                Case("a read behind the last request of a connection", listOf(last), next, closing = false, starts = false),
                Case("a read behind as many as may run", listOf(read, read, read), next, closing = false, starts = false),
                Case("a read behind a read while the server closes connections", listOf(read), next, closing = true, starts = false),
                Case("a read alone while the server closes connections", emptyList(), next, closing = true, starts = true),
            ).forEach { case ->
                val pipeline = RequestPipeline<Numbered>(limits)
                case.running.forEach { pipeline.add(it) }
                repeat(case.running.size) { pipeline.startNext(closing = false) }
                pipeline.add(case.next)
                withClue(case.name) { (pipeline.startNext(case.closing) === case.next) shouldBe case.starts }
            }
        }

        test("reading pauses at the number of waiting requests and at their bytes") {
            class Case(val bytes: Int, val count: Int, val full: Boolean)
            listOf(Case(1, 3, false), Case(1, 4, true), Case(49, 2, false), Case(50, 2, true), Case(200, 1, true)).forEach { case ->
                val pipeline = RequestPipeline<Numbered>(limits)
                repeat(case.count) { pipeline.add(Numbered(it, mayOverlap = true, bytes = case.bytes)) }
                withClue("${case.count} of ${case.bytes} bytes") { pipeline.isFull shouldBe case.full }
            }
        }

        test("a request that is put back starts again before those behind it") {
            val pipeline = RequestPipeline<Numbered>(limits)
            val requests = List(3) { Numbered(it, mayOverlap = true) }
            requests.forEach { pipeline.add(it) }
            pipeline.startNext(closing = false)
            val second = checkNotNull(pipeline.startNext(closing = false))
            pipeline.putBack(second)
            pipeline.startNext(closing = false) shouldBe requests[1]
            pipeline.startNext(closing = false) shouldBe requests[2]
        }
    })
