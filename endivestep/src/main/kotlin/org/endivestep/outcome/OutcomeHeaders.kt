package org.endivestep.outcome

/** Headers that endivestep reads from callers and workers, or adds. */
internal object OutcomeHeaders {
    /** Request: the service called. */
    const val SERVICE = "Endivestep-Service"

    /** Request, and request to a worker: ms that remain until the answer is of no use. */
    const val DEADLINE = "Endivestep-Deadline-Ms"

    /** Answer, request to a worker, and answer of a worker that echoes it. */
    const val REQUEST_ID = "Endivestep-Request-Id"

    /** Answer: `answered`, `not-run` or `unknown`. */
    const val OUTCOME = "Endivestep-Outcome"

    /** Answer: why the outcome is not `answered`. */
    const val REASON = "Endivestep-Reason"

    /** Answer: `no` tells callers and daemons further up not to send the request again. */
    const val RETRY = "Endivestep-Retry"

    /** Request: names a non-idempotent request, so that it runs at most once when sent again. */
    const val IDEMPOTENCY_KEY = "Idempotency-Key"

    /** Answer: `yes` when it was recorded by an earlier request with the same key. */
    const val REPLAYED = "Endivestep-Replayed"
}

/** Status that tells a caller of [reason]. */
internal fun NotRunReason.status(): Int =
    when (this) {
        NotRunReason.BAD_REQUEST -> 400
        NotRunReason.UNKNOWN_SERVICE, NotRunReason.UNKNOWN_KIND, NotRunReason.NO_ROUTE -> 404
        NotRunReason.KEY_REUSED -> 422
        else -> 503
    }

/** Status that tells a caller of [reason]. */
internal fun UnknownReason.status(): Int =
    when (this) {
        UnknownReason.TIMEOUT -> 504
        UnknownReason.EARLIER_ATTEMPT -> 409
        UnknownReason.STORE_UNAVAILABLE, UnknownReason.KEY_NOT_CHECKED -> 503
        else -> 502
    }
