package org.endivestep.outcome

import java.io.InputStream

/** Reason why a request was certainly not run by any worker. */
internal enum class NotRunReason(val text: String) {
    OVERLOADED("overloaded"),
    QUEUE_TIMEOUT("queue-timeout"),
    DEADLINE_PASSED("deadline-passed"),

    /** It could not be confirmed in time that the caller still waits, because a daemon is behind. */
    DELAYED("delayed"),
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

    /** The roll-out of the service does not permit the version of the worker now. */
    VERSION_NOT_PERMITTED("version-not-permitted"),

    /** The request bears no key of a team, on a route that needs one. */
    UNAUTHORIZED("unauthorized"),

    /** This daemon has not confirmed recently enough that it holds the latest configuration, so a key may have been revoked. */
    CONFIGURATION_STALE("configuration-stale"),
    QUOTA_EXCEEDED("quota-exceeded"),
    ;

    companion object {
        /** Returns the reason with [text], or null when this version does not define it. */
        fun of(text: String): NotRunReason? = entries.firstOrNull { it.text == text }
    }
}

/** Reason why it is not known whether a request ran. */
internal enum class UnknownReason(val text: String) {
    TIMEOUT("timeout"),
    WORKER_FAILED("worker-failed"),

    /** The connection to the daemon beside the worker ended, or that daemon did. */
    CONNECTION_LOST("connection-lost"),

    /** Nothing was heard from the daemon beside the worker in time, over a connection that did not end. */
    NO_RESPONSE("no-response"),

    /** The sender of the request no longer waited, while the worker ran it. */
    CANCELLED("cancelled"),
    MISMATCHED_ANSWER("mismatched-answer"),

    /** The worker began its answer, which broke off before any of it was sent to the caller. */
    ANSWER_TRUNCATED("answer-truncated"),

    /** The worker's answer had neither a length nor chunks, so that a truncation could not be detected. */
    UNDELIMITED_ANSWER("undelimited-answer"),

    /** A request with the same idempotency key is in progress, or its outcome is not known. */
    EARLIER_ATTEMPT("earlier-attempt"),

    /** The store was unavailable, so it is not known whether a request with the same idempotency key ran. */
    STORE_UNAVAILABLE("store-unavailable"),

    /** The request was refused before its idempotency key was looked up in the store. */
    KEY_NOT_CHECKED("key-not-checked"),
    ;

    companion object {
        /** Returns the reason with [text]; an unrecognized text, from a newer version, maps to [CONNECTION_LOST]. */
        fun of(text: String): UnknownReason = entries.firstOrNull { it.text == text } ?: CONNECTION_LOST
    }
}

/**
 * Load of a worker as last reported by its daemon: requests in flight, the current limit, waiting
 * requests, and the current processing time in percent of the usual time (0 when unknown).
 */
internal data class Load(val inFlight: Int, val limit: Int, val waiting: Int = 0, val slownessPercent: Int = 0)

internal data class HeaderField(val name: String, val value: String)

/**
 * Result of one attempt at one worker.
 *
 * [load] is the load reported with the result, null when the worker's daemon was not reached.
 */
internal sealed interface AttemptResult {
    val load: Load?

    /**
     * The worker began its answer. [body] must be closed by the reader; it throws
     * [java.io.IOException] when the answer is truncated, and ends normally only when it is complete.
     */
    class Answered(val head: AnswerHead, val body: InputStream, override val load: Load?) : AttemptResult

    /** No byte of the request reached the worker, or the worker reported that it shed the request. */
    class NotRun(val reason: NotRunReason, override val load: Load? = null, val final: Boolean = false) : AttemptResult

    /** The worker may have run the request. */
    class Unknown(val reason: UnknownReason, override val load: Load? = null) : AttemptResult
}
