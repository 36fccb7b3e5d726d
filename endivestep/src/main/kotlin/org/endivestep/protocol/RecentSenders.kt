package org.endivestep.protocol

import io.grpc.Grpc
import io.grpc.Metadata
import io.grpc.ServerCall
import io.grpc.ServerCallHandler
import io.grpc.ServerInterceptor
import org.endivestep.protocol.v1.ExchangesGrpc
import java.net.InetSocketAddress

/**
 * Hosts of the daemons that sent attempts here lately, the latest first. Thread-safe; times are in ms
 * of [clockMs].
 */
internal class RecentSenders(private val clockMs: () -> Long) {
    private val lastMs = LinkedHashMap<String, Long>()

    @Synchronized
    fun note(host: String) {
        // Taken out first, so that the order is that of the last attempts.
        lastMs.remove(host)
        lastMs[host] = clockMs()
        if (lastMs.size > MOST_KEPT) lastMs.remove(lastMs.keys.first())
    }

    /** Returns the hosts that sent an attempt within [withinMs], at most [most] of them, the latest first. */
    @Synchronized
    fun hosts(withinMs: Long, most: Int): Set<String> {
        val sinceMs = clockMs() - withinMs
        return lastMs.entries
            .reversed()
            .takeWhile { it.value >= sinceMs }
            .take(most)
            .map { it.key }
            .toSet()
    }

    private companion object {
        const val MOST_KEPT = 256
    }
}

/** Notes in [senders] where each attempt comes from. */
internal fun senderInterceptor(senders: RecentSenders): ServerInterceptor =
    object : ServerInterceptor {
        override fun <Q, A> interceptCall(
            call: ServerCall<Q, A>,
            headers: Metadata,
            next: ServerCallHandler<Q, A>,
        ): ServerCall.Listener<Q> {
            val remote = call.attributes.get(Grpc.TRANSPORT_ATTR_REMOTE_ADDR) as? InetSocketAddress
            if (remote != null && call.methodDescriptor == ExchangesGrpc.getExchangeMethod()) senders.note(remote.address.hostAddress)
            return next.startCall(call, headers)
        }
    }
