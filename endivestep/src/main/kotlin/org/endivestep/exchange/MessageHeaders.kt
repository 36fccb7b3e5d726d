package org.endivestep.exchange

/** Names, in their usual case, of the headers that callers, daemons and workers of a platform use. */
internal class MessageHeaders(
    /** Request id; a worker's answer echoes it. */
    val requestId: String,
    /** Time in ms until the sender of a request stops waiting. */
    val deadlineMs: String,
    /** Service of the worker that sent the request. */
    val callerService: String,
    /** Incarnation of the only worker that may run the request. */
    val expectedWorker: String,
    /** On a refusal: time in seconds until the request should be sent again. */
    val retryAfter: String,
    /** On a worker's answer: proof that the worker gave it; null where workers do not sign their answers. */
    val signature: String? = null,
    /** Key by which a caller identifies its team; it is not passed on. */
    val credentials: String = "Authorization",
    /** On a request to a worker: team of the caller; null where workers are not told. */
    val team: String? = null,
)
