package org.endivestep.protocol

import io.grpc.CallOptions
import io.grpc.Channel
import io.grpc.ClientCall
import io.grpc.ClientInterceptor
import io.grpc.ForwardingClientCall.SimpleForwardingClientCall
import io.grpc.Metadata
import io.grpc.MethodDescriptor
import io.grpc.ServerCall
import io.grpc.ServerCallHandler
import io.grpc.ServerInterceptor
import io.grpc.Status
import org.endivestep.identity.toHexadecimal
import java.security.MessageDigest
import javax.crypto.Mac
import javax.crypto.spec.SecretKeySpec

/** Authenticates calls and datagrams between daemons by a shared secret. Thread-safe. */
internal class PeerAuthentication(secret: String) {
    private val key = SecretKeySpec(secret.toByteArray(), ALGORITHM)
    private val token = sign(TOKEN_PURPOSE.toByteArray()).toHexadecimal()

    /** Returns the HMAC-SHA256 of [payload]. */
    fun sign(payload: ByteArray): ByteArray {
        val mac = Mac.getInstance(ALGORITHM)
        mac.init(key)
        return mac.doFinal(payload)
    }

    fun verify(payload: ByteArray, signature: ByteArray): Boolean = MessageDigest.isEqual(sign(payload), signature)

    /** Adds the token derived from the shared secret to every call. */
    fun clientInterceptor(): ClientInterceptor =
        object : ClientInterceptor {
            override fun <Q, A> interceptCall(
                method: MethodDescriptor<Q, A>,
                options: CallOptions,
                next: Channel,
            ): ClientCall<Q, A> =
                object : SimpleForwardingClientCall<Q, A>(next.newCall(method, options)) {
                    override fun start(listener: Listener<A>, headers: Metadata) {
                        headers.put(tokenKey, token)
                        super.start(listener, headers)
                    }
                }
        }

    /** Refuses calls without the expected token with status UNAUTHENTICATED. */
    fun serverInterceptor(onRefused: () -> Unit): ServerInterceptor =
        object : ServerInterceptor {
            override fun <Q, A> interceptCall(
                call: ServerCall<Q, A>,
                headers: Metadata,
                next: ServerCallHandler<Q, A>,
            ): ServerCall.Listener<Q> {
                val given = headers.get(tokenKey).orEmpty()
                if (MessageDigest.isEqual(given.toByteArray(), token.toByteArray())) return next.startCall(call, headers)
                onRefused()
                call.close(Status.UNAUTHENTICATED.withDescription("the shared secret differs"), Metadata())
                return object : ServerCall.Listener<Q>() {}
            }
        }

    private companion object {
        const val ALGORITHM = "HmacSHA256"
        const val TOKEN_PURPOSE = "endivestep inner protocol 1"
        val tokenKey: Metadata.Key<String> = Metadata.Key.of("endivestep-token", Metadata.ASCII_STRING_MARSHALLER)
    }
}
