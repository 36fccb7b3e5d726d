package org.endivestep.admission

import io.kotest.assertions.withClue
import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.shouldBe
import org.endivestep.document.ColdRate
import org.endivestep.document.Document
import org.endivestep.document.LimitSettings
import org.endivestep.fakes.sampleDocument
import org.endivestep.identity.ServiceName

private val service = ServiceName("bestel")
private const val SLOTS = 20
private const val PER_SECOND = 6.0
private const val COLD_MS = 3_000L
private const val REPORT_VALID_MS = 4_000L

private fun documentWith(perSecond: Double?): Document {
    val document = sampleDocument()
    val changed = document.services.getValue(service).copy(coldRate = perSecond?.let { ColdRate(it, COLD_MS) })
    return document.copy(services = document.services + (service to changed))
}

/** Returns how many of [SLOTS] requests are admitted at once. */
private fun admittedAtOnce(
    queue: AdmissionQueue,
): Int = (1..SLOTS).count { queue.admit(AdmissionRequest(maxWaitMs = 0)) is Admission.Admitted }

class ColdPeriodTest :
    FunSpec({
        test("a cold worker is limited whatever comes first, its report or the document") {
            class Case(val name: String, val events: List<String>, val admitted: Int)
            listOf(
                Case("report, then document", listOf("cold", "document"), PER_SECOND.toInt()),
                Case("document, then report", listOf("document", "cold"), PER_SECOND.toInt()),
                Case("report, report, document", listOf("cold", "cold", "document"), PER_SECOND.toInt()),
                Case("document without a rate, then one with a rate", listOf("no rate", "cold", "document"), PER_SECOND.toInt()),
                Case("cold again after it was warm", listOf("document", "cold", "warm", "cold"), PER_SECOND.toInt()),
                Case("warm", listOf("document", "warm"), SLOTS),
                Case("warm after it was cold", listOf("cold", "document", "warm"), SLOTS),
                Case("assumed cold after a report that it is warm", listOf("document", "warm", "assume"), PER_SECOND.toInt()),
                Case("assumed cold, then reported warm", listOf("document", "assume", "warm"), SLOTS),
                Case("assumed cold, then reported cold", listOf("document", "assume", "cold"), PER_SECOND.toInt()),
                Case("assumed cold for as long as a worker is, without a report", listOf("document", "assume", "pause"), SLOTS),
                Case("assumed cold, no rate known", listOf("warm", "assume", "document"), SLOTS),
                Case("cold time over before the document arrives", listOf("cold", "pause", "document"), SLOTS),
                // Guards against a daemon that was paused and takes its worker for as warm as before.
                Case("no report for too long", listOf("document", "warm", "pause", "pause"), PER_SECOND.toInt()),
                Case("no report for too long, document later", listOf("warm", "pause", "pause", "document"), PER_SECOND.toInt()),
                Case("no report for too long, then warm", listOf("document", "warm", "pause", "pause", "warm"), SLOTS),
                Case("no report yet", listOf("document", "pause", "pause"), SLOTS),
            ).forEach { case ->
                var nowMs = 0L
                val queue = AdmissionQueue(LimitSettings(SLOTS, SLOTS, 0, 1_000.0, 64, 800)) { nowMs }
                val period = ColdPeriod(queue, REPORT_VALID_MS) { nowMs }
                // Past the window in which what an earlier run sent is not known.
                nowMs = 2_000
                case.events.forEach { event ->
                    when (event) {
                        "cold" -> period.report(service, COLD_MS)
                        "warm" -> period.report(service, 0)
                        "assume" -> period.assumeCold(service)
                        "document" -> period.configure(documentWith(PER_SECOND))
                        "no rate" -> period.configure(documentWith(null))
                        else -> nowMs += COLD_MS + 1
                    }
                }
                withClue(case.name) { admittedAtOnce(queue) shouldBe case.admitted }
            }
        }
    })
