package org.endivestep.commands

import sun.misc.Signal
import java.util.concurrent.Semaphore

private val requests = Semaphore(0)

/**
 * Keeps SIGHUP from ending this process, and counts it as a request to read the settings again. To be called before anything
 * else is loaded, which takes a while.
 */
internal fun acceptReloadSignals() {
    Signal.handle(Signal("HUP")) { requests.release() }
}

/** Waits for SIGHUP; signals that arrived in the meantime count as one. */
internal fun awaitReloadSignal() {
    requests.acquire()
    requests.drainPermits()
}
