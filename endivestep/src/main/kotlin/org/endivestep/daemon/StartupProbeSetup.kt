package org.endivestep.daemon

import org.endivestep.document.Document
import org.endivestep.egress.WorkerRegistry
import org.endivestep.http.HttpConnectionPool
import org.endivestep.platform.HeartbeatHandler
import org.endivestep.platform.PlatformSettings
import org.endivestep.platform.healthCall
import org.endivestep.probe.StartupProbe

private const val HEALTH_TIMEOUT_MS = 500L

/** Returns what asks the worker for its health until it is known, and passes the answer to [onHeartbeat]. */
internal fun startupProbe(
    settings: PlatformSettings,
    document: () -> Document?,
    workers: WorkerRegistry,
    connections: HttpConnectionPool,
    onHeartbeat: HeartbeatHandler,
): StartupProbe =
    StartupProbe(
        { document()?.services?.get(settings.service)?.probe?.path },
        { workers.worker != null },
        healthCall(settings, connections, HEALTH_TIMEOUT_MS),
        onHeartbeat,
    )
