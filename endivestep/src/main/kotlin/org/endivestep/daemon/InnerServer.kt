package org.endivestep.daemon

import io.grpc.BindableService
import io.grpc.Server
import io.grpc.ServerCallExecutorSupplier
import io.grpc.ServerInterceptor
import io.grpc.netty.NettyServerBuilder
import io.netty.channel.EventLoopGroup
import io.netty.channel.nio.NioEventLoopGroup
import io.netty.channel.socket.nio.NioServerSocketChannel
import org.endivestep.settings.Address
import java.net.InetSocketAddress
import java.util.concurrent.TimeUnit

private const val KEEP_ALIVE_PERMITTED_SECONDS = 5L
private const val EVENT_LOOP_THREADS = 2
private const val FLOW_WINDOW_BYTES = 262_144

/** Creates the server that other daemons call, without starting it. The last of [interceptors] runs first. */
internal fun innerServer(
    address: Address,
    interceptors: List<ServerInterceptor>,
    executors: ServerCallExecutorSupplier,
    services: List<BindableService>,
    loops: EventLoopGroup = NioEventLoopGroup(EVENT_LOOP_THREADS),
): Server =
    NettyServerBuilder
        .forAddress(InetSocketAddress(address.host, address.port))
        .channelType(NioServerSocketChannel::class.java)
        .bossEventLoopGroup(loops)
        .workerEventLoopGroup(loops)
        // Looking up the method of a call does not block, so it needs no thread of its own.
        .directExecutor()
        .callExecutor(executors)
        // A fixed window, because a window that adapts to the connection costs a ping for each request.
        .flowControlWindow(FLOW_WINDOW_BYTES)
        .permitKeepAliveTime(KEEP_ALIVE_PERMITTED_SECONDS, TimeUnit.SECONDS)
        .permitKeepAliveWithoutCalls(true)
        .apply { interceptors.forEach(::intercept) }
        .apply { services.forEach(::addService) }
        .build()

/** Takes no more calls, and waits at most [timeoutMs] until the responses to the others have been sent; returns whether they have. */
internal fun Server.endCalls(timeoutMs: Long): Boolean = shutdown().awaitTermination(timeoutMs, TimeUnit.MILLISECONDS)
