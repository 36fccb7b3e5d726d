package org.endivestep.protocol

import com.google.common.util.concurrent.MoreExecutors
import io.grpc.Metadata
import io.grpc.ServerCall
import io.grpc.ServerCallExecutorSupplier
import org.endivestep.protocol.v1.ExchangesGrpc
import java.util.concurrent.Executor

/**
 * Runs callbacks of exchanges on the transport thread, because they do not block it, and callbacks of
 * control calls on [control], because they build large messages.
 */
internal fun callExecutorSupplier(control: Executor): ServerCallExecutorSupplier =
    object : ServerCallExecutorSupplier {
        override fun <Q, A> getExecutor(call: ServerCall<Q, A>, metadata: Metadata): Executor {
            val isExchange = call.methodDescriptor.serviceName == ExchangesGrpc.SERVICE_NAME
            return if (isExchange) MoreExecutors.directExecutor() else control
        }
    }
