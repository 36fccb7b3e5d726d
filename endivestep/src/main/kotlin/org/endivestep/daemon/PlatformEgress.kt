package org.endivestep.daemon

import org.endivestep.document.Document
import org.endivestep.egress.Egress
import org.endivestep.egress.nettyWorkerCall
import org.endivestep.egress.noObserver
import org.endivestep.http.HttpConnectionPool
import org.endivestep.metrics.AdmissionMetrics
import org.endivestep.platform.PlatformSettings
import org.endivestep.platform.platformAnswerInterpreter
import org.endivestep.platform.platformHeaders
import org.endivestep.rollout.everyVersionPermitted

/** Returns what runs attempts at the worker of [workerParts]; [versions] is null where the platform sets no limits for roll-outs. */
internal fun platformEgress(
    settings: PlatformSettings,
    document: () -> Document?,
    workerParts: WorkerParts,
    versions: VersionControl?,
    admissionMetrics: AdmissionMetrics,
    connections: HttpConnectionPool,
): Egress =
    Egress(
        settings.dataCentre,
        document,
        workerParts.admission,
        workerParts.workers,
        workerParts.attempts,
        workerParts.crashes,
        platformAnswerInterpreter,
        permitsVersion = versions?.let { it::permits } ?: everyVersionPermitted,
        observer = versions ?: noObserver,
        onAdmission = admissionMetrics::record,
        call = nettyWorkerCall(connections, platformHeaders),
    )
