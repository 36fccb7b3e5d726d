package org.endivestep.fakes

import org.endivestep.admission.AdmissionQueue
import org.endivestep.exchange.monotonicMs

private const val START_TIMEOUT_MS = 30_000L

/** Waits until [count] requests wait for admission; fails when they do not within [START_TIMEOUT_MS]. */
internal fun AdmissionQueue.awaitWaiting(count: Int) {
    val untilMs = monotonicMs() + START_TIMEOUT_MS
    while (load.waiting != count) {
        check(monotonicMs() < untilMs) { "${load.waiting} requests wait for admission instead of $count" }
        Thread.sleep(1)
    }
}
