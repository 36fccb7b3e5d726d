package org.endivestep.document

import org.endivestep.findings.Checked
import org.endivestep.findings.Finding
import org.endivestep.findings.IniText
import org.endivestep.findings.SectionReader
import org.endivestep.findings.yesOrNo
import org.endivestep.identity.DataCentreName
import org.endivestep.identity.KindName
import org.endivestep.identity.ServiceName

/** Maximum size of a document in bytes. A record with a document of this size still fits into one object of the store. */
internal const val MAX_DOCUMENT_BYTES = 700_000

/**
 * Maximum time in ms that a request waits for admission. Must be less than the time without a first frame
 * after which an ingress treats a connection as unresponsive, [org.endivestep.protocol.ADMIT_TIMEOUT_MS].
 */
internal const val MAX_QUEUE_WAIT_MS = 500L

private const val MAX_DURATION_MS = 86_400_000L
private const val MAX_LIMIT = 100_000L
private val namePattern = Regex("[a-z0-9][a-z0-9-]{0,62}")
private val methodNames = setOf("GET", "HEAD", "POST", "PUT", "DELETE", "PATCH", "OPTIONS")
private val dataCentreStates = DataCentreState.entries.associateBy { it.text }

/**
 * Parses and validates a configuration document. All findings are reported together.
 *
 * Sections: `[data-centre NAME]`, `[service NAME]`, `[kind SERVICE.NAME]`, `[quarantine]`.
 *
 * ```
 * val checked = readDocument("fleet.ini", File("fleet.ini").readText())
 * ```
 */
internal fun readDocument(file: String, text: String): Checked<Document> {
    val size = text.toByteArray().size
    if (size > MAX_DOCUMENT_BYTES) {
        val message = "has $size bytes; at most $MAX_DOCUMENT_BYTES are allowed"
        return Checked.Invalid(listOf(Finding(file, null, null, null, message)))
    }
    return when (val ini = IniText.parse(file, text)) {
        is Checked.Invalid -> ini
        is Checked.Valid -> DocumentReader(ini.value).read()
    }
}

private class DocumentReader(private val ini: IniText) {
    private val findings = mutableListOf<Finding>()
    private val dataCentres = mutableMapOf<DataCentreName, DataCentre>()
    private val services = mutableMapOf<ServiceName, Service>()
    private val kinds = mutableMapOf<ServiceName, MutableList<Kind>>()
    private var quarantine = QuarantineSettings(deaths = 2, durationMs = 600_000)

    fun read(): Checked<Document> {
        ini.sections.forEach(::readSection)
        kinds.keys.filter { it !in services }.forEach(::reportUndeclaredService)
        services.keys.filter { kinds[it].isNullOrEmpty() }.forEach(::reportNoKind)
        if (dataCentres.isEmpty()) findings += Finding(ini.file, null, null, null, "declares no data centre")
        if (services.isEmpty()) findings += Finding(ini.file, null, null, null, "declares no service")
        reportAmbiguousKinds()
        if (findings.isNotEmpty()) return Checked.Invalid(findings)
        return Checked.Valid(Document(dataCentres, services.mapValues(::withKinds), quarantine))
    }

    private fun withKinds(entry: Map.Entry<ServiceName, Service>): Service =
        entry.value.copy(kinds = kinds.getValue(entry.key))

    private fun readSection(section: String) {
        val type = section.substringBefore(' ')
        val name = section.substringAfter(' ', "").trim()
        val reader = SectionReader(ini, section, findings)
        when (type) {
            "data-centre" -> readDataCentre(name, reader)
            "service" -> readService(name, reader)
            "kind" -> readKind(name, reader)
            "quarantine" -> readQuarantine(reader)
            else -> {
                reader.report(null, "is not a known section")
                return
            }
        }
        reader.finish()
    }

    private fun checkName(name: String, reader: SectionReader) {
        if (!namePattern.matches(name)) {
            reader.report(null, "name \"$name\" must be 1 to 63 characters of a-z, 0-9 and -, not beginning with -")
        }
    }

    private fun readDataCentre(name: String, reader: SectionReader) {
        checkName(name, reader)
        val centre = DataCentreName(name)
        val state = reader.oneOf("state", dataCentreStates, DataCentreState.IN)
        dataCentres[centre] = DataCentre(centre, reader.text("region", "default"), state)
    }

    private fun readService(name: String, reader: SectionReader) {
        checkName(name, reader)
        val service = ServiceName(name)
        val limits = readLimits(reader)
        val shed = reader.number("shed-status", 0L..599L, 0)
        if (shed != 0L && shed !in 400L..599L) reader.report("shed-status", "must be 0 or a status from 400 to 599")
        services[service] =
            Service(
                name = service,
                limits = limits,
                retry = readRetry(reader, limits),
                probe = readProbe(reader),
                shedStatus = shed.toInt().takeIf { it != 0 },
                echoesRequestId = reader.oneOf("echoes-request-id", yesOrNo, false),
                kinds = emptyList(),
            )
    }

    private fun readLimits(reader: SectionReader): LimitSettings {
        val max = reader.number("limit-max", 1..MAX_LIMIT).toInt()
        val cold = reader.number("limit-cold", 1..MAX_LIMIT).toInt()
        if (cold > max) reader.report("limit-cold", "must not exceed limit-max ($max)")
        return LimitSettings(
            cold = cold,
            max = max,
            idleColdAfterMs = reader.number("idle-cold-after-ms", 0..MAX_DURATION_MS, 300_000),
            latencyTolerance = reader.number("latency-tolerance-percent", 110L..10_000L, 300) / 100.0,
            queueLength = reader.number("queue-length", 0..MAX_LIMIT, max.toLong()).toInt(),
            queueWaitMs = reader.number("queue-wait-ms", 0..MAX_QUEUE_WAIT_MS, MAX_QUEUE_WAIT_MS),
        )
    }

    // A worker that dies loses up to its limit of requests, so the reserve lets that many be retried at once.
    private fun readRetry(reader: SectionReader, limits: LimitSettings) =
        RetrySettings(
            ratio = reader.ratio("retry-ratio", 0.1),
            reserve = reader.number("retry-reserve", 0L..10_000L, limits.max.coerceAtMost(10_000).toLong()).toInt(),
            maxAttempts = reader.number("max-attempts", 1L..10L, 3).toInt(),
        )

    private fun readProbe(reader: SectionReader) =
        ProbeSettings(
            share = reader.ratio("probe-share", 0.01),
            costMs = reader.number("probe-cost-ms", 1..MAX_DURATION_MS, 6),
            path = reader.text("probe-path", "/health"),
        )

    private fun readKind(name: String, reader: SectionReader) {
        val service = ServiceName(name.substringBefore('.'))
        val kind = name.substringAfter('.', "")
        checkName(kind, reader)
        val methods = reader.list("methods").toSet()
        if (methods.isEmpty()) reader.report("methods", "is missing")
        methods.filter { it !in methodNames }.forEach { reader.report("methods", "\"$it\" is not a method") }
        val prefix = reader.text("path", "/")
        if (!prefix.startsWith("/")) reader.report("path", "must begin with /")
        val deadlineMs = reader.number("deadline-ms", 1..MAX_DURATION_MS)
        val timeoutMs = reader.number("timeout-ms", 1..MAX_DURATION_MS, deadlineMs)
        if (timeoutMs < deadlineMs) reader.report("timeout-ms", "must not be shorter than deadline-ms ($deadlineMs)")
        kinds.getOrPut(service) { mutableListOf() } +=
            Kind(
                name = KindName(kind),
                methods = methods,
                pathPrefix = prefix,
                semantics = if (reader.oneOf("idempotent", yesOrNo, false)) RequestSemantics.Idempotent else RequestSemantics.NonIdempotent,
                deadlineMs = deadlineMs,
                timeoutMs = timeoutMs,
                weight = reader.number("weight", 0L..1_000_000L, 1),
            )
    }

    private fun readQuarantine(reader: SectionReader) {
        quarantine =
            QuarantineSettings(
                deaths = reader.number("deaths", 1L..100L, 2).toInt(),
                durationMs = reader.number("duration-ms", 1..MAX_DURATION_MS, 600_000),
            )
    }

    private fun reportUndeclaredService(service: ServiceName) {
        kinds.getValue(service).forEach {
            val section = "kind ${service.text}.${it.name.text}"
            findings += ini.finding(section, null, "names service \"${service.text}\", which is not declared")
        }
    }

    private fun reportNoKind(service: ServiceName) {
        findings += ini.finding("service ${service.text}", null, "has no [kind] section")
    }

    private fun reportAmbiguousKinds() {
        kinds.forEach { (service, list) ->
            list.forEachIndexed { index, kind ->
                val duplicate = list.drop(index + 1).firstOrNull { it.overlaps(kind) } ?: return@forEachIndexed
                val section = "kind ${service.text}.${duplicate.name.text}"
                findings += ini.finding(section, "path", "selects the same requests as kind ${kind.name.text}")
            }
        }
    }

    private fun Kind.overlaps(other: Kind): Boolean =
        pathPrefix == other.pathPrefix && methods.any { it in other.methods }
}
