package org.endivestep.exchange

/** When an attempt passed through the daemon that runs it, for its log, on the clock of [monotonicMs]. Thread-safe. */
internal class AttemptTimes(
    /** When the attempt was read from another daemon, or was begun by this one. */
    val arrivedMs: Long = monotonicMs(),
    /** Time in ms that counts as the wait between two daemons; null when it is not known or there was none. */
    val crossingMs: Long? = null,
) {
    /** When the attempt was admitted, null before that. */
    @Volatile
    var admittedMs: Long? = null

    /** When the event loop began to write the attempt to the worker, null before that. */
    @Volatile
    var writtenMs: Long? = null
}
