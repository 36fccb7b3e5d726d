package org.endivestep.outcome

import java.io.InputStream

/** Why a request was certainly not run by any worker. */
internal enum class NotRunReason(val text: String) {
    OVERLOADED("overloaded"),
    QUEUE_TIMEOUT("queue-timeout"),
    DEADLINE_PASSED("deadline-passed"),
    LEAVING("leaving"),
    DATA_CENTRE_OUT("data-centre-out"),
    QUARANTINED("quarantined"),
    ISOLATED("isolated"),
    NO_WORKER("no-worker"),
    WORKER_UNREACHABLE("worker-unreachable"),
    DAEMON_UNREACHABLE("daemon-unreachable"),
    WORKER_SHED("worker-shed"),
    FENCED("fenced"),
    OTHER_INCARNATION("other-incarnation"),
    KEY_REUSED("key-reused"),
    NO_CONFIGURATION("no-configuration"),
    BAD_REQUEST("bad-request"),
    UNKNOWN_SERVICE("unknown-service"),
    UNKNOWN_KIND("unknown-kind"),
    NO_ROUTE("no-route"),
    COLD("cold"),
    ;

    companion object {
        /** Returns the reason with [text], or null when this version does not know it. */
        fun of(text: String): NotRunReason? = entries.firstOrNull { it.text == text }
    }
}

/** Why it is not known whether a request ran. */
internal enum class UnknownReason(val text: String) {
    TIMEOUT("timeout"),
    WORKER_FAILED("worker-failed"),
    CONNECTION_LOST("connection-lost"),
    MISMATCHED_ANSWER("mismatched-answer"),

    /** The worker's answer had neither a length nor chunks, so a cut could not be seen. */
    UNDELIMITED_ANSWER("undelimited-answer"),

    /** A request with the same idempotency key is in progress, or its outcome is not known. */
    EARLIER_ATTEMPT("earlier-attempt"),

    /** The store could not say whether a request with the same idempotency key ran. */
    STORE_UNAVAILABLE("store-unavailable"),

    /** Refused before the store was asked about the idempotency key. */
    KEY_NOT_CHECKED("key-not-checked"),
    ;

    companion object {
        /** Returns the reason with [text]; a text of a newer version counts as a lost connection. */
        fun of(text: String): UnknownReason = entries.firstOrNull { it.text == text } ?: CONNECTION_LOST
    }
}

/**
 * What a worker's daemon last said of its worker: requests in flight, the limit in force, requests
 * that wait, and how long work takes in percent of the usual time (0 when unknown).
 */
internal data class Load(val inFlight: Int, val limit: Int, val waiting: Int = 0, val slownessPercent: Int = 0)

internal data class HeaderField(val name: String, val value: String)

/**
 * Result of one attempt at one worker.
 *
 * [load] is the load that came with the result, null when the worker's daemon was not reached.
 */
internal sealed interface AttemptResult {
    val load: Load?

    /**
     * The worker began its answer. [body] must be closed by the reader; it throws
     * [java.io.IOException] when the answer is cut, and ends only when the answer is whole.
     */
    class Answered(val head: AnswerHead, val body: InputStream, override val load: Load?) : AttemptResult

    /** No byte of the request reached the worker, or the worker said that it shed the request. */
    class NotRun(val reason: NotRunReason, override val load: Load? = null, val final: Boolean = false) : AttemptResult

    /** The worker may have run the request. */
    class Unknown(val reason: UnknownReason, override val load: Load? = null) : AttemptResult
}
