package org.endivestep.daemon

import io.grpc.BindableService
import io.grpc.Server
import io.grpc.ServerCallExecutorSupplier
import io.grpc.ServerInterceptor
import io.grpc.netty.NettyServerBuilder
import io.netty.channel.nio.NioEventLoopGroup
import io.netty.channel.socket.nio.NioServerSocketChannel
import org.endivestep.settings.Address
import java.net.InetSocketAddress
import java.util.concurrent.TimeUnit

private const val KEEP_ALIVE_PERMITTED_SECONDS = 5L
private const val EVENT_LOOP_THREADS = 2

/** Creates the server that other daemons call, without starting it. The last of [interceptors] runs first. */
internal fun innerServer(
    address: Address,
    interceptors: List<ServerInterceptor>,
    executors: ServerCallExecutorSupplier,
    services: List<BindableService>,
): Server =
    NettyServerBuilder
        .forAddress(InetSocketAddress(address.host, address.port))
        .channelType(NioServerSocketChannel::class.java)
        .bossEventLoopGroup(NioEventLoopGroup(1))
        .workerEventLoopGroup(NioEventLoopGroup(EVENT_LOOP_THREADS))
        .callExecutor(executors)
        .permitKeepAliveTime(KEEP_ALIVE_PERMITTED_SECONDS, TimeUnit.SECONDS)
        .permitKeepAliveWithoutCalls(true)
        .apply { interceptors.forEach(::intercept) }
        .apply { services.forEach(::addService) }
        .build()
