package org.endivestep.concurrent

import io.github.oshai.kotlinlogging.KotlinLogging
import java.util.concurrent.atomic.AtomicBoolean

private val logger = KotlinLogging.logger {}

/** Background thread that executes one step in a loop until it is stopped. */
internal class BackgroundLoop private constructor(private val thread: Thread, private val running: AtomicBoolean) {
    /** Requests the loop to end after its current step, which is interrupted; does not wait for the end. */
    fun stop() {
        running.set(false)
        thread.interrupt()
    }

    /** Interrupts the current step, which must handle it; the loop continues. */
    fun interrupt() = thread.interrupt()

    companion object {
        private const val PAUSE_AFTER_FAILURE_MS = 200L

        /**
         * Starts a daemon thread called [name] that calls [step] in a loop.
         *
         * An exception from a step, or the exhaustion of its stack, is logged, and the loop continues after a pause of 200 ms.
         */
        fun start(name: String, step: () -> Unit): BackgroundLoop {
            val running = AtomicBoolean(true)
            val thread = Thread({ runLoop(running, name, step) }, name)
            thread.isDaemon = true
            thread.start()
            return BackgroundLoop(thread, running)
        }

        @Suppress("TooGenericExceptionCaught") // The loop continues after a failed step.
        private fun runLoop(running: AtomicBoolean, name: String, step: () -> Unit) {
            while (running.get()) {
                try {
                    step()
                } catch (e: InterruptedException) {
                    if (running.get()) logger.warn(e) { "background loop $name was interrupted without a stop request; continuing" }
                } catch (e: Exception) {
                    continueAfter(e, name)
                } catch (e: StackOverflowError) {
                    continueAfter(e, name)
                }
            }
        }

        private fun continueAfter(failure: Throwable, name: String) {
            logger.warn(failure) { "iteration of background loop $name failed" }
            pause()
        }

        private fun pause() {
            try {
                Thread.sleep(PAUSE_AFTER_FAILURE_MS)
            } catch (_: InterruptedException) {
                Thread.currentThread().interrupt()
            }
        }
    }
}
