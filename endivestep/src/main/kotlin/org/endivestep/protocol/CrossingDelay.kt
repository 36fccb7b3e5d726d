package org.endivestep.protocol

import io.grpc.Attributes
import io.grpc.Context
import io.grpc.Contexts
import io.grpc.Metadata
import io.grpc.ServerBuilder
import io.grpc.ServerCall
import io.grpc.ServerCallHandler
import io.grpc.ServerInterceptor
import io.grpc.ServerTransportFilter

/**
 * Estimates how much longer than usual the messages of one connection were on their way.
 *
 * The two ends have no common clock, so the time that a message took is not known. The difference between the receiver's clock at
 * its arrival and the sender's clock at its sending is that time plus a constant. Its least value belongs to a message that did not
 * wait; what a message has beyond it, it waited: in the sender's queue, on the network, or until the receiver read it.
 * The estimate is never more than the true wait while both clocks run. Old differences are forgotten after one to two
 * [windowMs], because a clock that was suspended changes the constant. Thread-safe.
 */
internal class CrossingDelay(private val windowMs: Long = WINDOW_MS) {
    private var windowStartMs = 0L
    private var leastMs = NONE
    private var leastBeforeMs = NONE

    /** Returns the time in ms that a message waited which was sent at [sentMs] and arrived at [arrivedMs], each by the clock of its end. */
    @Synchronized
    fun waitedMs(sentMs: Long, arrivedMs: Long): Long {
        advance(arrivedMs)
        val differenceMs = arrivedMs - sentMs
        leastMs = minOf(leastMs, differenceMs)
        return differenceMs - minOf(leastMs, leastBeforeMs)
    }

    private fun advance(nowMs: Long) {
        val ageMs = nowMs - windowStartMs
        if (leastMs != NONE && ageMs < windowMs) return
        leastBeforeMs = if (ageMs < 2 * windowMs) leastMs else NONE
        leastMs = NONE
        windowStartMs = nowMs
    }

    companion object {
        private const val WINDOW_MS = 5_000L
        private const val NONE = Long.MAX_VALUE
        private val attribute: Attributes.Key<CrossingDelay> = Attributes.Key.create("crossing-delay")
        private val contextKey: Context.Key<CrossingDelay> = Context.key("crossing-delay")

        /** Measures the crossings on each connection of [server]; see [ofCurrentCall]. */
        fun measureOn(server: ServerBuilder<*>) {
            server.addTransportFilter(transportFilter)
            server.intercept(interceptor)
        }

        /** The one of the connection on which the current call came, or null when its server does not keep any. */
        val ofCurrentCall: CrossingDelay? get() = contextKey.get()

        // Gives each connection of a server a CrossingDelay.
        private val transportFilter: ServerTransportFilter =
            object : ServerTransportFilter() {
                override fun transportReady(attributes: Attributes): Attributes =
                    attributes.toBuilder().set(attribute, CrossingDelay()).build()
            }

        // Lets the handler of a call find the CrossingDelay of its connection.
        private val interceptor: ServerInterceptor =
            object : ServerInterceptor {
                override fun <Q, A> interceptCall(
                    call: ServerCall<Q, A>,
                    headers: Metadata,
                    next: ServerCallHandler<Q, A>,
                ): ServerCall.Listener<Q> {
                    val delay = call.attributes.get(attribute) ?: return next.startCall(call, headers)
                    return Contexts.interceptCall(Context.current().withValue(contextKey, delay), call, headers, next)
                }
            }
    }
}
