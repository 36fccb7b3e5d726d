package org.endivestep.admission

import org.endivestep.document.Document
import org.endivestep.identity.ServiceName

/**
 * Time for which the local worker is cold, as it last reported, and the limit that follows from it.
 *
 * A worker may report that it is cold before the first document tells the rate that it bears, and the rate may change
 * while it is cold, so the limit is computed from the two whenever one of them arrives. A worker whose last report is older than
 * [reportValidMs] counts as cold until the next one: it may have become cold while its daemon was paused, or its reports were lost.
 * Times are in ms of [clockMs]. Thread-safe.
 */
internal class ColdPeriod(private val admission: AdmissionQueue, private val reportValidMs: Long, private val clockMs: () -> Long) {
    private class Report(val service: ServiceName, val untilMs: Long, val validUntilMs: Long)

    private var latest: Report? = null
    private var document: Document? = null

    /** Records that the worker of [service] is cold for another [coldMs]; to be called before its requests are admitted. */
    @Synchronized
    fun report(service: ServiceName, coldMs: Long) {
        val nowMs = clockMs()
        latest = Report(service, nowMs + coldMs, nowMs + reportValidMs)
        apply()
    }

    /**
     * Treats the worker of [service] as cold until its next report: it may have become cold unnoticed, because it was not used
     * and its last report is from before.
     */
    @Synchronized
    fun assumeCold(service: ServiceName) {
        val rate = document?.services?.get(service)?.coldRate ?: return
        report(service, rate.durationMs)
    }

    /** Takes the rates of cold workers from [document]; to be called before requests are served by it. */
    @Synchronized
    fun configure(document: Document) {
        this.document = document
        apply()
    }

    private fun apply() {
        val report = latest ?: return
        val rate = document?.services?.get(report.service)?.coldRate ?: return
        val nowMs = clockMs()
        admission.coldFor((report.untilMs - nowMs).coerceAtLeast(0), rate.perSecond, report.validUntilMs - nowMs)
    }
}
