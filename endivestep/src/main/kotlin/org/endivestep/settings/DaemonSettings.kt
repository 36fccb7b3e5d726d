package org.endivestep.settings

import org.endivestep.findings.Checked
import org.endivestep.findings.Finding
import org.endivestep.findings.IniText
import org.endivestep.findings.SectionReader
import org.endivestep.identity.DataCentreName
import org.endivestep.identity.VmName
import org.endivestep.retry.HedgeSettings

/** Settings of one daemon, read once at startup. */
internal data class DaemonSettings(
    val vm: VmName,
    val dataCentre: DataCentreName,
    val host: String,
    val callerPort: Int,
    val innerPort: Int,
    val adminPort: Int,
    val seeds: List<Address>,
    val storeUrl: String,
    val storeTimeoutMs: Long,
    val sharedSecret: String,
    val operators: List<OperatorAccount>,
    val ingressThreads: Int,
    val stopTimeoutMs: Long,
    val staleAfterMs: Long,
    val hedging: HedgeSettings = HedgeSettings(),
)

/** An operator who may sign in; [passwordHash] is `iterations:salt:hash`, see [hashPassword]. */
internal data class OperatorAccount(val name: String, val passwordHash: String)

private const val MIN_SECRET_LENGTH = 16
private const val MAX_PORT = 65_535L

/** Parses and validates the settings file of a daemon. */
internal fun readDaemonSettings(file: String, text: String): Checked<DaemonSettings> =
    when (val ini = IniText.parse(file, text)) {
        is Checked.Invalid -> ini
        is Checked.Valid -> read(ini.value)
    }

private fun read(ini: IniText): Checked<DaemonSettings> {
    val findings = mutableListOf<Finding>()
    val known = listOf("daemon", "store", "security", "operators", HEDGING_SECTION)
    ini.sections.filter { it !in known }.forEach { findings += ini.finding(it, null, "is not a known section") }
    val daemon = SectionReader(ini, "daemon", findings)
    val store = SectionReader(ini, "store", findings)
    val security = SectionReader(ini, "security", findings)
    val operators = SectionReader(ini, "operators", findings)
    val settings =
        DaemonSettings(
            vm = VmName(daemon.text("vm")),
            dataCentre = DataCentreName(daemon.text("data-centre")),
            host = daemon.ipAddress("host"),
            callerPort = daemon.number("caller-port", 1..MAX_PORT).toInt(),
            innerPort = daemon.number("inner-port", 1..MAX_PORT).toInt(),
            adminPort = daemon.number("admin-port", 1..MAX_PORT).toInt(),
            seeds = daemon.addresses("seeds"),
            storeUrl = store.url("url"),
            storeTimeoutMs = store.number("timeout-ms", 10L..60_000L, 1_000),
            sharedSecret = security.secret("shared-secret"),
            operators = operators.prefixed("").map { OperatorAccount(it.key, it.value) },
            ingressThreads = daemon.number("ingress-threads", 8L..10_000L, 256).toInt(),
            stopTimeoutMs = daemon.number("stop-timeout-ms", 100L..3_600_000L, 120_000),
            staleAfterMs = daemon.number("stale-after-ms", 1_000L..3_600_000L, 15_000),
            hedging = readHedgeSettings(ini, findings),
        )
    checkPorts(settings, daemon)
    checkOperators(settings, operators)
    listOf(daemon, store, security, operators).forEach { it.finish() }
    return if (findings.isEmpty()) Checked.Valid(settings) else Checked.Invalid(findings)
}

private fun checkPorts(settings: DaemonSettings, reader: SectionReader) {
    val ports = listOf(settings.callerPort, settings.innerPort, settings.adminPort)
    if (ports.toSet().size < ports.size) reader.report("caller-port", "the three ports must differ")
}

private fun checkOperators(settings: DaemonSettings, reader: SectionReader) {
    settings.operators.filterNot { isPasswordHash(it.passwordHash) }.forEach {
        reader.report(it.name, "must be iterations:salt:hash as printed by endivestep hash-password")
    }
}

private fun SectionReader.ipAddress(key: String): String {
    val host = text(key)
    if (host.isNotEmpty() && !isIpAddress(host)) report(key, "must be an IP address, not \"$host\"")
    return host
}

private fun SectionReader.url(key: String): String {
    val url = text(key)
    if (url.isNotEmpty() && !url.startsWith("http://")) report(key, "must begin with http://")
    return url.trimEnd('/')
}

private fun SectionReader.secret(key: String): String {
    val secret = text(key)
    if (secret.isNotEmpty() && secret.length < MIN_SECRET_LENGTH) {
        report(key, "must have at least $MIN_SECRET_LENGTH characters")
    }
    return secret
}

private fun SectionReader.addresses(key: String): List<Address> =
    list(key).mapNotNull { text ->
        val address = parseAddress(text)?.takeIf { isIpAddress(it.host) }
        if (address == null) report(key, "\"$text\" must be an IP address and a port")
        address
    }
