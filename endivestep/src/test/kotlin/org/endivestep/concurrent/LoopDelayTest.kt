package org.endivestep.concurrent

import io.kotest.assertions.withClue
import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.shouldBe

private const val INTERVAL_MS = 20L

/** An event loop in virtual time, with the measurement of its delay. */
private class VirtualLoop {
    private class Task(val dueMs: Long, val run: () -> Unit)

    private val tasks = mutableListOf<Task>()
    var nowMs = 0L
        private set

    val delay = LoopDelay({ nowMs }, INTERVAL_MS) { delayMs, task -> tasks += Task(nowMs + delayMs, task) }
    val isIdle: Boolean get() = tasks.isEmpty()

    /** Lets [ms] pass, in which the loop runs nothing. */
    fun block(ms: Long) {
        nowMs += ms
    }

    /** Lets [ms] pass, in which the loop runs each task when it is due. */
    fun run(ms: Long) {
        val untilMs = nowMs + ms
        while (true) {
            val next = tasks.filter { it.dueMs <= untilMs }.minByOrNull { it.dueMs } ?: break
            tasks -= next
            nowMs = maxOf(nowMs, next.dueMs)
            next.run()
        }
        nowMs = untilMs
    }
}

class LoopDelayTest :
    FunSpec({
        test("the delay is the time for which the loop has run nothing that was due") {
            class Case(val name: String, val expectedMs: Long, val events: VirtualLoop.() -> Unit)
            listOf(
                Case("nothing happened", expectedMs = 0) { run(1_000) },
                Case("a first event", expectedMs = 0) { delay.noteActivity() },
                Case("a loop that runs", expectedMs = 0) {
                    repeat(10) {
                        delay.noteActivity()
                        run(15)
                    }
                },
                Case("a loop that was blocked", expectedMs = 500) {
                    delay.noteActivity()
                    block(500)
                },
                Case("a loop that was blocked after a pause", expectedMs = 500) {
                    delay.noteActivity()
                    run(10 * INTERVAL_MS)
                    block(500)
                },
                Case("a loop that was blocked before and runs again", expectedMs = 0) {
                    delay.noteActivity()
                    block(500)
                    run(1)
                },
                Case("a loop that was idle for long before an event", expectedMs = 0) {
                    delay.noteActivity()
                    run(5_000)
                    delay.noteActivity()
                },
            ).forEach { case ->
                val loop = VirtualLoop()
                case.events(loop)
                withClue(case.name) { loop.delay.currentMs shouldBe case.expectedMs }
            }
        }

        test("an idle loop has no task") {
            val loop = VirtualLoop()
            loop.delay.noteActivity()
            loop.isIdle shouldBe false
            loop.run(100 * INTERVAL_MS)
            loop.isIdle shouldBe true
        }
    })
