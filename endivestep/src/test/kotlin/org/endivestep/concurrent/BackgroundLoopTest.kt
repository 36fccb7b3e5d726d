package org.endivestep.concurrent

import io.kotest.assertions.withClue
import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.shouldBe
import java.io.IOException
import java.util.concurrent.CountDownLatch
import java.util.concurrent.TimeUnit
import java.util.concurrent.atomic.AtomicBoolean

private fun recurse(depth: Int): Int = recurse(depth + 1) + 1

class BackgroundLoopTest :
    FunSpec({
        // Guards against a loop that ends for good because one input made its step fail.
        test("a loop goes on after a step that failed") {
            class Case(val name: String, val fail: () -> Unit)
            listOf(
                Case("an exception") { throw IOException("broken") },
                Case("an exhausted stack") { recurse(0) },
            ).forEach { case ->
                val failed = AtomicBoolean()
                val wentOn = CountDownLatch(1)
                val loop =
                    BackgroundLoop.start("test") {
                        if (failed.compareAndSet(false, true)) case.fail()
                        wentOn.countDown()
                        Thread.sleep(10)
                    }
                withClue(case.name) { wentOn.await(5, TimeUnit.SECONDS) shouldBe true }
                loop.stop()
            }
        }
    })
