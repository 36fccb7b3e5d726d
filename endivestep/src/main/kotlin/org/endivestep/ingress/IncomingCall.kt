package org.endivestep.ingress

import org.endivestep.document.Document
import org.endivestep.document.Kind
import org.endivestep.document.Service
import org.endivestep.document.kindOf
import org.endivestep.exchange.CallerLease
import org.endivestep.exchange.Cancellation
import org.endivestep.exchange.Deadline
import org.endivestep.exchange.MAX_INLINE_BODY_BYTES
import org.endivestep.exchange.RequestBody
import org.endivestep.exchange.RequestRank
import org.endivestep.exchange.monotonicMs
import org.endivestep.exchange.readWhole
import org.endivestep.identity.Fingerprint
import org.endivestep.identity.RequestId
import org.endivestep.identity.ServiceName
import org.endivestep.outcome.HeaderField
import org.endivestep.outcome.NotRunReason
import org.endivestep.outcome.OutcomeHeaders
import org.http4k.core.Request
import java.io.ByteArrayInputStream
import java.io.SequenceInputStream

private const val MAX_KEY_LENGTH = 256
private const val MAX_DEADLINE_MS = 86_400_000L

/** A caller's request, parsed and matched to a service and kind of the configuration. */
internal class IncomingCall(
    val id: RequestId,
    val service: Service,
    val kind: Kind,
    val method: String,
    val path: String,
    val headers: List<HeaderField>,
    val body: RequestBody,
    val startMs: Long,
    val deadline: Deadline,
    val idempotencyKey: String?,
    val fingerprint: Fingerprint,
    val maxAttempts: Int = service.retry.maxAttempts,
    val rank: RequestRank = RequestRank(),
    /** Tells whether the caller still waits for the answer. */
    val cancellation: Cancellation = Cancellation(),
    val lease: CallerLease = CallerLease.unlimited(),
    /** When the caller sent the request, as far as that can be told. */
    val sentMs: Long = startMs,
) {
    /** Whether the body can still be sent from its beginning. */
    val replayable: Boolean get() = (body as? RequestBody.Streamed)?.isOpened != true

    /** When the request was ready to be sent to a worker, after the thread that handles it had been free. */
    val dispatchedMs: Long = monotonicMs()

    /** Results of the attempts so far, for the log; see [AttemptHistory.trace]. */
    @Volatile
    var trace: List<String> = emptyList()

    /** Length of the body in bytes, 0 when unknown. */
    val bodyBytes: Long
        get() =
            when (body) {
                is RequestBody.Inline -> body.bytes.size.toLong()
                is RequestBody.Streamed -> body.length.coerceAtLeast(0)
            }

    val needsClaim: Boolean get() = !kind.idempotent && idempotencyKey != null
}

/** Result of parsing a caller's request. */
internal sealed interface ParseResult {
    class Parsed(val call: IncomingCall) : ParseResult

    class Refused(val service: String, val reason: NotRunReason, val detail: String) : ParseResult
}

/** Parses [request]; a body of at most [MAX_INLINE_BODY_BYTES] is read into memory, a larger one is left as a stream. */
internal fun parseCall(document: Document, request: Request, id: RequestId, nowMs: Long): ParseResult {
    val name = request.header(OutcomeHeaders.SERVICE) ?: request.header("Host").orEmpty().substringBefore('.')
    val service =
        document.services[ServiceName(name)]
            ?: return ParseResult.Refused(name.take(MAX_KEY_LENGTH), NotRunReason.UNKNOWN_SERVICE, "no service \"$name\"")
    val path = request.uri.toString()
    val kind =
        service.kindOf(request.method.name, request.uri.path)
            ?: return ParseResult.Refused(name, NotRunReason.UNKNOWN_KIND, "no kind for ${request.method} ${request.uri.path}")
    val remainingMs =
        remainingMs(request, kind)
            ?: return ParseResult.Refused(name, NotRunReason.BAD_REQUEST, "${OutcomeHeaders.DEADLINE} is not a number of ms")
    val key = request.header(OutcomeHeaders.IDEMPOTENCY_KEY)
    if (key != null && key.length !in 1..MAX_KEY_LENGTH) {
        return ParseResult.Refused(name, NotRunReason.BAD_REQUEST, "${OutcomeHeaders.IDEMPOTENCY_KEY} is empty or too long")
    }
    val body = readBody(request)
    return ParseResult.Parsed(
        IncomingCall(
            id = id,
            service = service,
            kind = kind,
            method = request.method.name,
            path = path,
            headers = request.headers.map { HeaderField(it.first, it.second.orEmpty()) },
            body = body,
            startMs = nowMs,
            deadline = Deadline(nowMs + remainingMs),
            idempotencyKey = key,
            fingerprint = fingerprint(name, request, key, body),
        ),
    )
}

private fun remainingMs(request: Request, kind: Kind): Long? {
    val declared = request.header(OutcomeHeaders.DEADLINE) ?: return kind.timeoutMs
    val number = declared.toLongOrNull() ?: return null
    if (number !in 1..MAX_DEADLINE_MS) return null
    return minOf(number, kind.timeoutMs)
}

private fun readBody(request: Request): RequestBody {
    val stream = request.body.stream
    val length = request.body.length ?: -1
    if (length > MAX_INLINE_BODY_BYTES) return RequestBody.Streamed(stream, length)
    if (length >= 0) return RequestBody.Inline(stream.readWhole(length.toInt()))
    val start = stream.readNBytes(MAX_INLINE_BODY_BYTES + 1)
    if (start.size <= MAX_INLINE_BODY_BYTES) return RequestBody.Inline(start)
    return RequestBody.Streamed(SequenceInputStream(ByteArrayInputStream(start), stream), length)
}

private fun fingerprint(service: String, request: Request, key: String?, body: RequestBody): Fingerprint {
    // A caller names the service in a header; the host is the daemon that it happens to call.
    val origin = RequestOrigin(service, host = "", callerService = "", key.orEmpty())
    return requestFingerprint(request.method.name, request.uri.toString(), body, origin)
}
