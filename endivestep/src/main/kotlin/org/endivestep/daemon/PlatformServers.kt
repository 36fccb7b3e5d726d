package org.endivestep.daemon

import io.netty.channel.EventLoopGroup
import org.endivestep.document.CallerLimits
import org.endivestep.ingress.NettyCallerServer
import org.endivestep.ingress.OverlapRule
import org.endivestep.ingress.RequestHandler
import org.endivestep.platform.HeartbeatHandler
import org.endivestep.platform.PlatformSettings
import org.endivestep.platform.heartbeatEndpoint
import org.endivestep.platform.metricsEndpoint
import org.endivestep.platform.readinessEndpoint
import org.endivestep.settings.Address

/** What the servers of a daemon on the platform call. */
internal class PlatformHandlers(
    val callers: RequestHandler,
    val mayOverlap: OverlapRule,
    val isReady: () -> Boolean,
    val heartbeats: HeartbeatHandler,
    /** Returns the metrics as text. */
    val scrapeMetrics: () -> String,
)

/** The HTTP servers of a daemon on the platform. */
internal class PlatformServers(
    private val settings: PlatformSettings,
    loops: EventLoopGroup,
    pools: DaemonPools,
    limits: () -> CallerLimits,
    handlers: PlatformHandlers,
) {
    val callers = NettyCallerServer(settings.callers, loops, pools.callers, limits, handlers.callers, handlers.mayOverlap)
    private val readiness = NettyCallerServer(settings.readiness, loops, pools.platform, limits, readinessEndpoint(handlers.isReady))
    private val heartbeats = NettyCallerServer(settings.heartbeats, loops, pools.platform, limits, heartbeatEndpoint(handlers.heartbeats))
    private val metrics =
        NettyCallerServer(
            Address(settings.host, settings.metricsPort),
            loops,
            pools.platform,
            limits,
            metricsEndpoint(handlers.scrapeMetrics),
        )

    /** Starts all servers but that of the callers. Throws [java.io.IOException] if a port is in use. */
    fun startForPlatform() {
        heartbeats.start()
        readiness.start()
        if (settings.metricsPort != 0) metrics.start()
    }
}
