package org.endivestep.protocol

import io.grpc.Grpc
import io.grpc.Metadata
import io.grpc.ServerCall
import io.grpc.ServerCallHandler
import io.grpc.ServerInterceptor
import org.endivestep.protocol.v1.ExchangesGrpc
import java.net.InetSocketAddress

/**
 * Hosts of the daemons that recently sent attempts to this daemon, most recent first. Times are in ms of
 * [clockMs]. Thread-safe.
 */
internal class RecentSenders(private val clockMs: () -> Long) {
    private val lastAttemptMs = LinkedHashMap<String, Long>()

    @Synchronized
    fun record(host: String) {
        // Removed before it is added, so that the entries are ordered by their last attempt.
        lastAttemptMs.remove(host)
        lastAttemptMs[host] = clockMs()
        if (lastAttemptMs.size > MAX_HOSTS) lastAttemptMs.remove(lastAttemptMs.keys.first())
    }

    /** Returns at most [max] hosts that sent an attempt within the last [withinMs], most recent first. */
    @Synchronized
    fun hosts(withinMs: Long, max: Int): Set<String> {
        val sinceMs = clockMs() - withinMs
        return lastAttemptMs.entries
            .reversed()
            .takeWhile { it.value >= sinceMs }
            .take(max)
            .map { it.key }
            .toSet()
    }

    private companion object {
        const val MAX_HOSTS = 256
    }
}

/** Records the host that sends each attempt in [senders]. */
internal fun senderInterceptor(senders: RecentSenders): ServerInterceptor =
    object : ServerInterceptor {
        override fun <Q, A> interceptCall(
            call: ServerCall<Q, A>,
            headers: Metadata,
            next: ServerCallHandler<Q, A>,
        ): ServerCall.Listener<Q> {
            val remote = call.attributes.get(Grpc.TRANSPORT_ATTR_REMOTE_ADDR) as? InetSocketAddress
            if (remote != null && call.methodDescriptor == ExchangesGrpc.getExchangeMethod()) senders.record(remote.address.hostAddress)
            return next.startCall(call, headers)
        }
    }
