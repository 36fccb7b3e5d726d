package org.endivestep.outcome

/** Headers that endivestep reads from callers and workers or adds to messages. */
internal object OutcomeHeaders {
    /** Request: the service called. */
    const val SERVICE = "Endivestep-Service"

    /** Request, and request to a worker: remaining time in ms until the answer is no longer useful. */
    const val DEADLINE = "Endivestep-Deadline-Ms"

    /** Answer, request to a worker, and answer of a worker that echoes it. */
    const val REQUEST_ID = "Endivestep-Request-Id"

    /** Answer: `answered`, `not-run` or `unknown`. */
    const val OUTCOME = "Endivestep-Outcome"

    /** Answer: why the outcome is not `answered`. */
    const val REASON = "Endivestep-Reason"

    /** Answer: `no` instructs callers and upstream daemons not to send the request again. */
    const val RETRY = "Endivestep-Retry"

    /** Request: identifies a non-idempotent request, so that it runs at most once when sent again. */
    const val IDEMPOTENCY_KEY = "Idempotency-Key"

    /**
     * Answer: `yes` when it is the recorded answer to an earlier request with the same key, `answer-not-kept`
     * when that request was answered but the body was not recorded.
     */
    const val REPLAYED = "Endivestep-Replayed"
}

/** Returns the HTTP status with which this reason is reported to a caller. */
internal fun NotRunReason.status(): Int =
    when (this) {
        NotRunReason.BAD_REQUEST -> 400
        NotRunReason.UNAUTHORIZED -> 401
        NotRunReason.UNKNOWN_SERVICE, NotRunReason.UNKNOWN_KIND, NotRunReason.NO_ROUTE -> 404
        NotRunReason.KEY_REUSED -> 422
        NotRunReason.QUOTA_EXCEEDED -> 429
        else -> 503
    }

/** Returns the HTTP status with which this reason is reported to a caller. */
internal fun UnknownReason.status(): Int =
    when (this) {
        UnknownReason.TIMEOUT -> 504
        UnknownReason.EARLIER_ATTEMPT -> 409
        UnknownReason.STORE_UNAVAILABLE, UnknownReason.KEY_NOT_CHECKED -> 503
        else -> 502
    }
