package org.endivestep.exchange

/** Names of the headers that callers, daemons and workers of one platform use, each in its usual case. */
internal class MessageHeaders(
    /** Id of one request; a worker's answer repeats it. */
    val requestId: String,
    /** Time in ms until the sender of a request stops waiting. */
    val deadlineMs: String,
    /** Service beside whose worker a request began. */
    val callerService: String,
    /** Incarnation of the worker that alone may run a request. */
    val expectedWorker: String,
    /** On a refusal: time in seconds until the request should be sent again. */
    val retryAfter: String,
)
