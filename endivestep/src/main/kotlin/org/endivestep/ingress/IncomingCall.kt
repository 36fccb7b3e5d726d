package org.endivestep.ingress

import org.endivestep.document.Document
import org.endivestep.document.Kind
import org.endivestep.document.Service
import org.endivestep.document.kindOf
import org.endivestep.exchange.Deadline
import org.endivestep.exchange.MAX_INLINE_BODY_BYTES
import org.endivestep.exchange.RequestBody
import org.endivestep.exchange.RequestRank
import org.endivestep.exchange.readWhole
import org.endivestep.identity.Fingerprint
import org.endivestep.identity.RequestId
import org.endivestep.identity.ServiceName
import org.endivestep.outcome.HeaderField
import org.endivestep.outcome.NotRunReason
import org.endivestep.outcome.OutcomeHeaders
import org.http4k.core.Request
import java.io.ByteArrayInputStream
import java.io.FilterInputStream
import java.io.InputStream
import java.io.SequenceInputStream
import java.security.MessageDigest

private const val MAX_KEY_LENGTH = 256
private const val MAX_DEADLINE_MS = 86_400_000L

/** A caller's request, read and matched with the configuration. */
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
) {
    /** Whether the body can be sent from its beginning. */
    val replayable: Boolean get() = (body as? RequestBody.Streamed)?.let { !(it.stream as UnreadStream).touched } ?: true

    /** What became of each attempt so far, for the log. */
    @Volatile
    var trace: List<String> = emptyList()

    /** Length of the body in bytes, 0 when it is not known. */
    val bodyBytes: Long
        get() =
            when (body) {
                is RequestBody.Inline -> body.bytes.size.toLong()
                is RequestBody.Streamed -> body.length.coerceAtLeast(0)
            }

    val needsClaim: Boolean get() = !kind.idempotent && idempotencyKey != null
}

/** Result of reading a caller's request. */
internal sealed interface ReadCall {
    class Ready(val call: IncomingCall) : ReadCall

    class Refused(val service: String, val reason: NotRunReason, val detail: String) : ReadCall
}

/** Reads [request]; a small body is read whole, a larger one stays a stream. */
internal fun readCall(document: Document, request: Request, id: RequestId, nowMs: Long): ReadCall {
    val name = request.header(OutcomeHeaders.SERVICE) ?: request.header("Host").orEmpty().substringBefore('.')
    val service =
        document.services[ServiceName(name)]
            ?: return ReadCall.Refused(name.take(MAX_KEY_LENGTH), NotRunReason.UNKNOWN_SERVICE, "no service \"$name\"")
    val path = request.uri.toString()
    val kind =
        service.kindOf(request.method.name, request.uri.path)
            ?: return ReadCall.Refused(name, NotRunReason.UNKNOWN_KIND, "no kind for ${request.method} ${request.uri.path}")
    val remainingMs =
        remainingMs(request, kind)
            ?: return ReadCall.Refused(name, NotRunReason.BAD_REQUEST, "${OutcomeHeaders.DEADLINE} is not a number of ms")
    val key = request.header(OutcomeHeaders.IDEMPOTENCY_KEY)
    if (key != null && key.length !in 1..MAX_KEY_LENGTH) {
        return ReadCall.Refused(name, NotRunReason.BAD_REQUEST, "${OutcomeHeaders.IDEMPOTENCY_KEY} is empty or too long")
    }
    val body = readBody(request)
    return ReadCall.Ready(
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
    val given = request.header(OutcomeHeaders.DEADLINE) ?: return kind.timeoutMs
    val number = given.toLongOrNull() ?: return null
    if (number !in 1..MAX_DEADLINE_MS) return null
    return minOf(number, kind.timeoutMs)
}

private fun readBody(request: Request): RequestBody {
    val stream = request.body.stream
    val length = request.body.length ?: -1
    if (length > MAX_INLINE_BODY_BYTES) return RequestBody.Streamed(UnreadStream(stream), length)
    if (length >= 0) return RequestBody.Inline(stream.readWhole(length.toInt()))
    val start = stream.readNBytes(MAX_INLINE_BODY_BYTES + 1)
    if (start.size <= MAX_INLINE_BODY_BYTES) return RequestBody.Inline(start)
    return RequestBody.Streamed(UnreadStream(SequenceInputStream(ByteArrayInputStream(start), stream)), length)
}

// A large body is told apart by its length only, so that it need not be read first.
private fun fingerprint(service: String, request: Request, key: String?, body: RequestBody): Fingerprint {
    val digest = MessageDigest.getInstance("SHA-256")
    digest.update("$service\n${request.method}\n${request.uri}\n${key.orEmpty()}\n".toByteArray())
    when (body) {
        is RequestBody.Inline -> digest.update(body.bytes)
        is RequestBody.Streamed -> digest.update("${body.length}".toByteArray())
    }
    val bytes = digest.digest()
    return Fingerprint(bytes.take(FINGERPRINT_BYTES).joinToString("") { "%02x".format(it) })
}

private const val FINGERPRINT_BYTES = 16

/** Remembers whether anything was read, after which the body cannot be sent again. */
internal class UnreadStream(stream: InputStream) : FilterInputStream(stream) {
    @Volatile
    var touched = false
        private set

    override fun read(): Int {
        touched = true
        return super.read()
    }

    override fun read(target: ByteArray, start: Int, count: Int): Int {
        touched = true
        return super.read(target, start, count)
    }
}
