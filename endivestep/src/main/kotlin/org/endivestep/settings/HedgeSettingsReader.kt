package org.endivestep.settings

import org.endivestep.findings.Finding
import org.endivestep.findings.IniText
import org.endivestep.findings.SectionReader
import org.endivestep.retry.HedgeSettings

/** Name of the section that turns second attempts of slow requests on. */
internal const val HEDGING_SECTION = "hedging"

/** Reads the section [HEDGING_SECTION], which may be absent; adds what is wrong with it to [findings]. */
internal fun readHedgeSettings(ini: IniText, findings: MutableList<Finding>): HedgeSettings {
    val reader = SectionReader(ini, HEDGING_SECTION, findings)
    val settings = HedgeSettings(extraShare = reader.ratio("extra-share", default = 0.0))
    reader.finish()
    return settings
}
